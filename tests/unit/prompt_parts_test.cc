#include "core/requests/prompt_parts.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

namespace larchlever::requests {
namespace {

const PromptPartScope kScope{"office", "engines"};

// A part was not recognized in another prompt because of its place, its size or the case of its id.
TEST(PromptParts, EqualPartsHaveEqualFingerprintsAtAnyPlace) {
  const auto first = fingerprint_shared_parts(kScope, "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  const auto second = fingerprint_shared_parts(kScope, "91BD3F06:7, 5c1e07a2 : 800 ,77:1");
  ASSERT_EQ(first.size(), 2U);
  ASSERT_EQ(second.size(), 2U);
  EXPECT_EQ(first[0], second[1]);
  EXPECT_EQ(first[1], second[0]);
}

// A tenant could have had prompts of another tenant blocked.
TEST(PromptParts, PartsOfDifferentTenantsOrServicesDiffer) {
  const auto own = fingerprint_shared_parts(kScope, "5c:1,6d:1");
  EXPECT_NE(own, fingerprint_shared_parts({"coast", "engines"}, "5c:1,6d:1"));
  EXPECT_NE(own, fingerprint_shared_parts({"office", "captions"}, "5c:1,6d:1"));
}

// Lists that callers invent must cost no more than well-formed ones.
TEST(PromptParts, IgnoresMalformedRepeatedAndExcessItems) {
  EXPECT_TRUE(fingerprint_shared_parts(kScope, "").empty());
  EXPECT_TRUE(fingerprint_shared_parts(kScope, "5c:1").empty()) << "the last part is the request's own";
  EXPECT_TRUE(fingerprint_shared_parts(kScope, ",,,").empty());
  EXPECT_TRUE(fingerprint_shared_parts(kScope, ":1,xyz:3,5c 6d:1,77:1").empty());
  EXPECT_EQ(fingerprint_shared_parts(kScope, "5c:1,5C:2,5c,77:1").size(), 1U);
  EXPECT_TRUE(fingerprint_shared_parts(kScope, std::string(100'000, 'a') + ",77:1").empty());
  std::string list;
  for (int number = 0; number < 10'000; ++number) {
    list += std::to_string(number) + ":1,";
  }
  EXPECT_EQ(fingerprint_shared_parts(kScope, list).size(), kMaxPromptParts);
}

TEST(PromptParts, AcceptsAnyBytes) {
  EXPECT_TRUE(rc::check("any list yields a bounded number of distinct parts", [](const std::string& list) {
    RC_ASSERT(fingerprint_shared_parts(kScope, list).size() <= kMaxPromptParts);
  }));
}

}  // namespace
}  // namespace larchlever::requests
