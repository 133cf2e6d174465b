#include "node/relay_protocol.h"

#include <gtest/gtest.h>

#include <random>

namespace larchlever::node {
namespace {

net::Headers valid_headers() {
  net::Headers headers;
  add_relay_instructions(headers, {"10.0.0.1:7340", 12, {"g1", "i-7@5"}});
  return headers;
}

TEST(RelayProtocol, InstructionsAreParsedAsTheyWereAdded) {
  std::string error;
  const auto parsed = parse_relay_instructions(valid_headers(), error);
  ASSERT_TRUE(parsed) << error;
  EXPECT_EQ(parsed->sender, "10.0.0.1:7340");
  EXPECT_EQ(parsed->document_version, 12);
  EXPECT_EQ(parsed->excluded_targets, (std::set<std::string>{"g1", "i-7@5"}));
}

// A request without complete instructions was taken for one from a peer.
TEST(RelayProtocol, MissingOrRepeatedInstructionsAreRejected) {
  const auto headers = valid_headers();
  for (const auto& [name, value] : headers.all()) {
    std::string error;
    auto repeated = valid_headers();
    repeated.add(name, value);
    EXPECT_FALSE(parse_relay_instructions(repeated, error)) << name;
    EXPECT_FALSE(error.empty());
    auto missing = valid_headers();
    missing.remove(name);
    const bool is_optional = name == "Larchlever-Relay-Excluded";
    EXPECT_EQ(parse_relay_instructions(missing, error).has_value(), is_optional) << name;
  }
}

TEST(RelayProtocol, MalformedInstructionsAreRejected) {
  const std::vector<std::pair<std::string, std::string>> malformed = {
      {"Larchlever-Relay-Sender", "somewhere"},
      {"Larchlever-Relay-Sender", std::string(70, '1') + ":80"},
      {"Larchlever-Relay-Document", "-1"},
      {"Larchlever-Relay-Document", "1x"},
      {"Larchlever-Relay-Document", "99999999999999999999"},
      {"Larchlever-Relay-Excluded", "a,,b"},
      {"Larchlever-Relay-Excluded", std::string(300, 'a')}};
  for (const auto& [name, value] : malformed) {
    auto headers = valid_headers();
    headers.set(name, value);
    std::string error;
    EXPECT_FALSE(parse_relay_instructions(headers, error)) << name << ": " << value;
  }
  auto too_many = valid_headers();
  std::string list = "t0";
  for (int number = 1; number < 100; ++number) {
    list += ",t" + std::to_string(number);
  }
  too_many.set("Larchlever-Relay-Excluded", list);
  std::string error;
  EXPECT_FALSE(parse_relay_instructions(too_many, error));
}

// Arbitrary bytes in the headers must neither crash the parser nor get past its bounds.
TEST(RelayProtocol, ArbitraryValuesAreParsedWithinBounds) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 20'000; ++round) {
    net::Headers headers = valid_headers();
    for (const auto* name : {"Larchlever-Relay-Sender", "Larchlever-Relay-Document", "Larchlever-Relay-Excluded"}) {
      if (random() % 3 == 0) {
        std::string value(random() % 400, '\0');
        for (auto& byte : value) {
          byte = static_cast<char>(random() % 4 == 0 ? ',' : random() % 256);
        }
        headers.set(name, value);
      }
    }
    std::string error;
    if (const auto parsed = parse_relay_instructions(headers, error)) {
      EXPECT_LE(parsed->sender.size(), 64U);
      EXPECT_GE(parsed->document_version, 0);
      EXPECT_LE(parsed->excluded_targets.size(), 32U);
    } else {
      EXPECT_FALSE(error.empty());
    }
  }
}

TEST(RelayProtocol, ResultsAreParsedAsTheyWereSet) {
  for (const auto result :
       {RelayResult::kServed, RelayResult::kRefused, RelayResult::kNotSent, RelayResult::kNotRun, RelayResult::kLost}) {
    net::Headers headers;
    set_relay_result(headers, result, "g1");
    EXPECT_EQ(find_relay_result(headers), result);
    EXPECT_EQ(find_relay_target(headers), "g1");
  }
  net::Headers unknown;
  unknown.add("Larchlever-Relay-Result", "perhaps");
  EXPECT_EQ(find_relay_result(unknown), std::nullopt);
  EXPECT_EQ(find_relay_result(net::Headers()), std::nullopt);
}

// Headers of the protocol that a caller sent reached servers.
TEST(RelayProtocol, AllHeadersAreRemoved) {
  net::Headers headers = valid_headers();
  set_relay_result(headers, RelayResult::kLost, "g1");
  headers.add("larchlever-relay-sender", "second");
  headers.add("Host", "forms.example");
  remove_relay_headers(headers);
  EXPECT_EQ(headers.all().size(), 1U);
}

}  // namespace
}  // namespace larchlever::node
