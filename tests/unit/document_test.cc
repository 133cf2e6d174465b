#include <gtest/gtest.h>

#include "core/document/configuration_document.h"
#include "core/document/route_table.h"
#include "core/fleet/fleet_log.h"
#include "wire/codec.h"

namespace larchlever::document {
namespace {

TEST(FleetLog, CompressesAndRestoresLargeDocuments) {
  std::string content = R"({"version":3,"routes":[],"services":[],"note":")";
  content += std::string(20'000, 'x') + "\"}";
  const auto packed = fleet::pack_document(3, content);
  EXPECT_LT(packed.compressed_content.size(), content.size() / 10);
  EXPECT_EQ(fleet::unpack_document(packed), content);
  auto wrong_size = packed;
  ++wrong_size.content_size;
  EXPECT_FALSE(fleet::unpack_document(wrong_size));
  auto damaged = packed;
  damaged.compressed_content.erase(0, 10);
  EXPECT_FALSE(fleet::unpack_document(damaged));
  EXPECT_EQ(fleet::pack_document(1, "small").content, "small");
  wire::Command command;
  command.__set_document(packed);
  fleet::FleetLog log;
  log.apply(1, wire::encode(command));
  EXPECT_EQ(log.document_content(), content);
  fleet::FleetLog restored;
  ASSERT_TRUE(restored.restore(log.snapshot()));
  EXPECT_EQ(restored.document_content(), content);
  EXPECT_EQ(restored.document_version(), 3);
}

constexpr const char* kServices = R"("services":[{"name":"s","health_path":"/h","max_connections":9}])";

std::string document_json(const std::string& routes, const std::string& further_fields = "") {
  return R"({"version":7,"unknown":{"x":1},"routes":[)" + routes + "]," + kServices + further_fields + "}";
}

std::string route_json(const std::string& prefix, const std::string& fields = R"("service":"s","timeout_ms":100)") {
  return R"({"name":"r","host":"a.example","path_prefix":")" + prefix + R"(","type":"idempotent",)" + fields + "}";
}

std::string error_of(const std::string& text) {
  const auto parsed = parse_document(text);
  return parsed.document == nullptr ? parsed.error.message : "";
}

TEST(Document, ParsesRoutesServicesLimitsAndTenants) {
  const auto parsed = parse_document(document_json(
      route_json("/a/", R"("backends":[{"service":"s","weight":3}],"timeout_ms":2500,"max_attempts":2,"priority":1)"),
      R"(,"limits":{"max_body_bytes":100},"tenants":[{"name":"t","api_keys":["k1","k2"],"priority":0}])"));
  ASSERT_NE(parsed.document, nullptr) << parsed.error.message;
  EXPECT_EQ(parsed.document->version, 7);
  const auto& first = parsed.document->routes.front();
  EXPECT_EQ(first.timeout, milliseconds(2500));
  EXPECT_TRUE(first.is_retry_safe());
  EXPECT_EQ(first.max_attempts, 2);
  EXPECT_EQ(parsed.document->limits.max_body_bytes, 100U);
  EXPECT_EQ(parsed.document->tenants->front().api_keys.size(), 2U);
}

TEST(Document, StreamIsRetrySafeOnlyIfResumable) {
  Route stream;
  stream.route_type = RouteType::kStreaming;
  EXPECT_FALSE(stream.is_retry_safe());
  stream.resumable = true;
  EXPECT_TRUE(stream.is_retry_safe());
}

TEST(Document, RejectsInvalidDocumentsWithARemedy) {
  EXPECT_NE(error_of(document_json(route_json("/a/")).substr(0, 40)).find("send it whole"), std::string::npos);
  EXPECT_NE(error_of(document_json(route_json("/a/", R"("service":"x","timeout_ms":1)"))).find("unknown service 'x'"),
            std::string::npos);
  EXPECT_NE(error_of(document_json(route_json("/a/") + "," + route_json("/a/"))).find("share host"), std::string::npos);
  EXPECT_NE(error_of(document_json(route_json("/a/", R"("backends":[{"service":"s","weight":0}],"timeout_ms":1)")))
                .find("add up to 0"),
            std::string::npos);
  EXPECT_NE(error_of(document_json(route_json("/a/", R"("service":"s","timeout_ms":0)"))).find("timeout_ms"),
            std::string::npos);
  EXPECT_NE(error_of(document_json(route_json("/a/"), R"(,"tenants":[{"name":"t","api_keys":["k"]},)"
                                                      R"({"name":"u","api_keys":["k"]}])"))
                .find("share a key"),
            std::string::npos);
  EXPECT_NE(error_of(R"({"routes":[]})").find("version"), std::string::npos);
  EXPECT_NE(error_of(R"({"version":1,"routes":7})").find("must be a list"), std::string::npos);
}

TEST(Document, ClampsNumbersToTheSupportedRange) {
  const auto parsed =
      parse_document(document_json(route_json("/a/", R"("service":"s","timeout_ms":1e300,"max_attempts":1e300)"),
                                   R"(,"limits":{"max_body_bytes":-5})"));
  ASSERT_NE(parsed.document, nullptr) << parsed.error.message;
  EXPECT_GT(parsed.document->routes.front().timeout, Duration::zero());
  EXPECT_EQ(parsed.document->limits.max_body_bytes, 0U);
}

TEST(RouteTable, FindsTheLongestMatchingPrefixOfAHost) {
  const auto parsed =
      parse_document(document_json(route_json("/") + "," + route_json("/a/") + "," + route_json("/a/b/")));
  ASSERT_NE(parsed.document, nullptr) << parsed.error.message;
  const RouteTable table(parsed.document);
  EXPECT_EQ(table.find_route("a.example", "/a/b/c")->path_prefix, "/a/b/");
  EXPECT_EQ(table.find_route("A.example:8080", "/a/bc")->path_prefix, "/a/");
  EXPECT_EQ(table.find_route("a.example", "/x")->path_prefix, "/");
  EXPECT_EQ(table.find_route("b.example", "/a/"), nullptr);
  EXPECT_EQ(table.find_route("a.example", ""), nullptr);
}

}  // namespace
}  // namespace larchlever::document
