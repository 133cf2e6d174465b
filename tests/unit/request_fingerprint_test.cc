#include "core/requests/request_fingerprint.h"

#include <gtest/gtest.h>

namespace larchlever::requests {
namespace {

const RequestIdentity kIdentity{"coast-office", "chat.example", "POST", "/chat/1?x=2", "body"};

TEST(RequestFingerprint, IsTheSameForACopy) { EXPECT_EQ(fingerprint_of(kIdentity), fingerprint_of(kIdentity)); }

TEST(RequestFingerprint, DiffersInEachPart) {
  auto other = kIdentity;
  other.caller = "hill-office";
  EXPECT_NE(fingerprint_of(other), fingerprint_of(kIdentity));
  other = kIdentity;
  other.host = "forms.example";
  EXPECT_NE(fingerprint_of(other), fingerprint_of(kIdentity));
  other = kIdentity;
  other.method = "PUT";
  EXPECT_NE(fingerprint_of(other), fingerprint_of(kIdentity));
  other = kIdentity;
  other.target = "/chat/1?x=3";
  EXPECT_NE(fingerprint_of(other), fingerprint_of(kIdentity));
  other = kIdentity;
  other.body = "Body";
  EXPECT_NE(fingerprint_of(other), fingerprint_of(kIdentity));
}

TEST(RequestFingerprint, DiffersWhereBytesMoveFromOnePartToTheNext) {
  const RequestIdentity left{"ab", "c", "", "", ""};
  const RequestIdentity right{"a", "bc", "", "", ""};
  EXPECT_NE(fingerprint_of(left), fingerprint_of(right));
}

TEST(RequestFingerprint, StandsInLogsWithSixteenDigits) {
  EXPECT_EQ(to_string(RequestFingerprint(255)), "00000000000000ff");
}

}  // namespace
}  // namespace larchlever::requests
