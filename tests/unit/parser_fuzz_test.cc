#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <functional>
#include <random>

#include "core/fleet/registration.h"
#include "core/requests/stream_verifier.h"
#include "net/frame.h"
#include "settings/change_file.h"
#include "settings/node_settings.h"
#include "storage/record_format.h"
#include "wire/codec.h"

// Feeds mutated samples from a fixed seed to every parser of untrusted input. The sanitizer job also runs these tests.

namespace larchlever {
namespace {

/// Set LARCHLEVER_FUZZ_ROUNDS=N for a longer run.
int fuzz_rounds() {
  const char* rounds_text = std::getenv("LARCHLEVER_FUZZ_ROUNDS");
  return rounds_text == nullptr ? 4000 : std::atoi(rounds_text);
}

/// Randomly changes, removes, duplicates or truncates bytes of the sample.
std::string mutate(std::string sample, std::mt19937_64& random) {
  const auto random_below = [&random](size_t limit) {
    return std::uniform_int_distribution<size_t>(0, limit - 1)(random);
  };
  const size_t changes = 1 + random_below(6);
  for (size_t change = 0; change < changes && !sample.empty(); ++change) {
    const size_t at = random_below(sample.size());
    switch (random_below(4)) {
      case 0:
        sample[at] = static_cast<char>(random_below(256));
        break;
      case 1:
        sample.erase(at, 1 + random_below(8));
        break;
      case 2:
        sample.insert(at, sample.substr(at, 1 + random_below(16)));
        break;
      default:
        if (random_below(8) == 0) {
          sample.resize(at);
        }
        break;
    }
  }
  return sample;
}

void fuzz(const std::string& sample, const std::function<void(const std::string&)>& parse) {
  std::mt19937_64 random(20261202);
  const int count = fuzz_rounds();
  for (int round = 0; round < count; ++round) {
    parse(mutate(sample, random));
  }
}

wire::Envelope sample_envelope() {
  wire::Envelope envelope;
  envelope.from_node = "n1";
  envelope.to_node = "n2";
  wire::Heartbeat heartbeat;
  for (int number = 0; number < 5; ++number) {
    wire::MachineSighting sighting;
    sighting.machine = "machine-" + std::to_string(number);
    heartbeat.sightings.push_back(sighting);
  }
  envelope.__set_heartbeat(heartbeat);
  return envelope;
}

TEST(ParserFuzz, Frames) {
  const std::string payload = wire::encode(sample_envelope());
  fuzz(net::encode_frame(payload) + net::encode_frame(payload), [&payload](const std::string& bytes) {
    std::string_view found;
    size_t size = 0;
    // A corrupt frame must never be accepted as complete.
    if (net::decode_frame(bytes, found, size) == net::FrameStatus::kComplete) {
      EXPECT_EQ(found, payload);
      EXPECT_LE(size, bytes.size());
    }
  });
}

TEST(ParserFuzz, ThriftMessages) {
  fuzz(wire::encode(sample_envelope()), [](const std::string& bytes) {
    wire::decode<wire::Envelope>(bytes);
    wire::decode<wire::Command>(bytes);
    wire::decode<wire::ControlSnapshot>(bytes);
  });
}

TEST(ParserFuzz, StoredRecords) {
  std::string file;
  storage::encode_record(file, 0, storage::RecordType::kEntry, 0, "first");
  const size_t second = file.size();
  storage::encode_record(file, second, storage::RecordType::kEntry, 10, "second");
  fuzz(file, [second](const std::string& bytes) {
    for (const size_t offset : {size_t{0}, second, bytes.size()}) {
      const auto record = storage::decode_record(bytes, offset);
      if (record) {
        EXPECT_TRUE(record->payload == "first" || record->payload == "second");
      }
    }
  });
}

TEST(ParserFuzz, Settings) {
  const std::string text =
      "[node]\nname = n1\nzone = a\npeer_address = 127.0.0.1:1\n[control_nodes]\nn1 = 127.0.0.1:1\n"
      "[tenant t]\ntemplate = m\nzones = a, b\nshare_percent = 5\n[service s]\npath_prefix = /s\nendpoints = "
      "1.2.3.4:5\n";
  fuzz(text, [](const std::string& bytes) {
    std::vector<std::string> errors;
    settings::parse_node_settings(bytes, errors);
    settings::parse_change_file(bytes, errors);
    EXPECT_FALSE(errors.empty()) << "the text mixes sections of both kinds of file";
  });
}

TEST(ParserFuzz, EventStreams) {
  std::string stream;
  for (int offset = 0; offset < 6; ++offset) {
    stream += "id: r:" + std::to_string(offset) + "\ndata: {\"x\":1}\n\n";
  }
  stream += "data: [DONE]\n\n";
  fuzz(stream, [](const std::string& bytes) {
    requests::StreamVerifier verifier("r", 0);
    const std::string passed = verifier.feed(bytes);
    EXPECT_LE(passed.size(), bytes.size());
    EXPECT_TRUE(passed.empty() || passed.ends_with("\n\n"));
  });
}

/// A registration must be parsed into a valid instance or rejected with an error that names the field.
void expect_valid_or_explained(const std::string& body) {
  const auto parsed = fleet::parse_registration("i1", body);
  if (const auto* malformed = std::get_if<fleet::MalformedReport>(&parsed)) {
    EXPECT_FALSE(malformed->field.empty()) << body;
    EXPECT_FALSE(malformed->message.empty()) << body;
    return;
  }
  const auto& report = std::get<wire::Instance>(parsed);
  EXPECT_EQ(report.id, "i1");
  EXPECT_FALSE(report.service_name.empty()) << body;
  EXPECT_NE(report.address.find(':'), std::string::npos) << body;
  EXPECT_GE(report.call_number, 0) << body;
  EXPECT_GE(report.slots, 0) << body;
  EXPECT_GE(report.born_ms, 0) << body;
  EXPECT_NE(report.state, wire::InstanceState::GONE) << body;
}

// Registrations may come from other implementations: any field may be missing or have another type or range.
TEST(ParserFuzz, RegistrationsFromOtherImplementations) {
  const std::string complete_report =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,)"
      R"("call_seq":9,"born":1780000000000,"domain":"d1","staged":["m",{"name":"n"}],"models":[{"name":"m"}],)"
      R"("group":{"name":"g","epoch":12,"rank":1,"state":"open"}})";
  fuzz(complete_report, expect_valid_or_explained);
  const boost::json::object report = boost::json::parse(complete_report).as_object();
  const boost::json::array other_values = {
      nullptr, true, -1, 1.5, 1e300, "", "text", boost::json::array(), boost::json::object(), UINT64_MAX};
  for (const auto& field : report) {
    auto without_field = report;
    without_field.erase(field.key());
    expect_valid_or_explained(boost::json::serialize(without_field));
    for (const auto& other_value : other_values) {
      auto changed = report;
      changed[field.key()] = other_value;
      expect_valid_or_explained(boost::json::serialize(changed));
    }
  }
}

}  // namespace
}  // namespace larchlever
