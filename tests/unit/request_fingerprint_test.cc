#include "core/requests/request_fingerprint.h"

#include <gtest/gtest.h>

namespace larchlever::requests {
namespace {

const RequestIdentity kIdentity{"coast-office", "chat.example", "POST", "/chat/1?x=2", "body"};

TEST(RequestFingerprint, IsEqualForEqualRequests) {
  EXPECT_EQ(compute_fingerprint(kIdentity), compute_fingerprint(kIdentity));
}

TEST(RequestFingerprint, DependsOnEachField) {
  auto other = kIdentity;
  other.caller = "hill-office";
  EXPECT_NE(compute_fingerprint(other), compute_fingerprint(kIdentity));
  other = kIdentity;
  other.host = "forms.example";
  EXPECT_NE(compute_fingerprint(other), compute_fingerprint(kIdentity));
  other = kIdentity;
  other.method = "PUT";
  EXPECT_NE(compute_fingerprint(other), compute_fingerprint(kIdentity));
  other = kIdentity;
  other.target = "/chat/1?x=3";
  EXPECT_NE(compute_fingerprint(other), compute_fingerprint(kIdentity));
  other = kIdentity;
  other.body = "Body";
  EXPECT_NE(compute_fingerprint(other), compute_fingerprint(kIdentity));
}

TEST(RequestFingerprint, DependsOnFieldBoundaries) {
  const RequestIdentity left{"ab", "c", "", "", ""};
  const RequestIdentity right{"a", "bc", "", "", ""};
  EXPECT_NE(compute_fingerprint(left), compute_fingerprint(right));
}

TEST(RequestFingerprint, FormatsAsSixteenHexDigits) {
  EXPECT_EQ(to_string(RequestFingerprint(255)), "00000000000000ff");
}

}  // namespace
}  // namespace larchlever::requests
