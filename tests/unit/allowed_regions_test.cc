#include "core/document/allowed_regions.h"

#include <gtest/gtest.h>

#include "core/fleet/dispatcher.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::document {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
const ZoneRegions kRegions = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"c1", "c"}, {"x", ""}};

Route make_route(std::vector<std::string> regions) {
  Route route;
  route.allowed_regions = std::move(regions);
  return route;
}

TenantSpec make_tenant(std::vector<std::string> regions) {
  TenantSpec tenant;
  tenant.allowed_regions = std::move(regions);
  return tenant;
}

TEST(AllowedRegions, RestrictZonesByRouteAndTenant) {
  using Zones = std::set<std::string>;
  const auto unrestricted = make_tenant({});
  const auto regions_a_and_c = make_tenant({"a", "c"});
  EXPECT_FALSE(allowed_zones(kRegions, make_route({}), &unrestricted));
  EXPECT_FALSE(allowed_zones(kRegions, make_route({}), nullptr));
  EXPECT_EQ(allowed_zones(kRegions, make_route({"a"}), nullptr), (Zones{"a1", "a2"}));
  EXPECT_EQ(allowed_zones(kRegions, make_route({}), &regions_a_and_c), (Zones{"a1", "a2", "c1"}));
  EXPECT_EQ(allowed_zones(kRegions, make_route({"b", "c"}), &regions_a_and_c), (Zones{"c1"}));
  EXPECT_EQ(allowed_zones(kRegions, make_route({"b"}), &regions_a_and_c), Zones{})
      << "no zone is allowed; must not mean any zone";
  EXPECT_EQ(allowed_zones({}, make_route({"b"}), nullptr), Zones{}) << "no zone has a region";
}

TEST(AllowedRegions, UnknownRegionErrorNamesTheField) {
  ConfigurationDocument document;
  document.routes = {make_route({}), make_route({"a", "d"})};
  const auto error = find_unknown_region(kRegions, document);
  ASSERT_TRUE(error);
  EXPECT_NE(error->message.find("routes[1].allowed_regions"), std::string::npos) << error->message;
  EXPECT_NE(error->message.find("a, b, c"), std::string::npos) << error->message;
  EXPECT_FALSE(find_unknown_region({{"a1", ""}}, document)) << "the settings name no regions";
  document.routes.clear();
  document.tenants = {make_tenant({"b"}), make_tenant({"z"})};
  EXPECT_NE(find_unknown_region(kRegions, document)->message.find("tenants[1]"), std::string::npos);
}

TEST(AllowedRegions, ParsedFromRoutesAndTenants) {
  const auto parsed = parse_document(
      R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","path_prefix":"/","timeout_ms":100,)"
      R"("service":"s","allowed_regions":["a"]}],"tenants":[{"name":"t","api_keys":["k"],"allowed_regions":["b"]}]})");
  ASSERT_NE(parsed.document, nullptr) << parsed.error.message;
  EXPECT_EQ(parsed.document->routes[0].allowed_regions, std::vector<std::string>{"a"});
  EXPECT_EQ(parsed.document->tenants->front().allowed_regions, std::vector<std::string>{"b"});
}

wire::EngineGroup make_open_group(const std::string& name, const std::vector<std::string>& zones) {
  wire::EngineGroup group;
  group.name = name;
  group.service_name = "s";
  group.model = "m";
  group.phase = wire::GroupPhase::OPEN;
  group.members = {"i-" + name};
  group.zones = zones;
  return group;
}

ConfigurationDocument make_engine_document() {
  ServiceSpec service;
  service.name = "s";
  auto& engine = service.engine.emplace();
  engine.slots = 2;
  engine.models.push_back({"m", 1, 1.0, 1.0, {}, {}});
  ConfigurationDocument document;
  document.services["s"] = service;
  return document;
}

// Requests restricted to a region without free slots must queue without blocking requests that may run elsewhere.
TEST(SlotScheduler, GrantsSlotsOnlyInAllowedZones) {
  fleet::SlotScheduler scheduler;
  scheduler.start(1);
  scheduler.set_groups(
      {make_open_group("home", {"a1"}), make_open_group("mixed", {"a1", "b1"}), make_open_group("away", {"b1"})});
  const auto document = make_engine_document();
  int64_t id = 0;
  const auto request_slot = [&](bool is_restricted) {
    wire::SlotRequest request;
    request.id = ++id;
    request.service_name = "s";
    request.model = "m";
    request.patience_ms = 100;
    if (is_restricted) {
      request.__set_allowed_zones({"a1", "a2"});
    }
    scheduler.add_request(kStart, "n", request);
    wire::SlotGrant grant;
    for (const auto& decision : scheduler.decide(kStart, document)) {
      grant = decision.grant.id == id ? decision.grant : grant;
    }
    return grant;
  };
  EXPECT_EQ(request_slot(true).group, "home");
  EXPECT_EQ(request_slot(true).group, "home");
  EXPECT_EQ(request_slot(true).verdict, wire::SlotVerdict::QUEUED) << "the only group in allowed zones is full";
  EXPECT_EQ(request_slot(false).verdict, wire::SlotVerdict::GRANTED);
}

TEST(Dispatcher, ChoosesServersOnlyInAllowedZones) {
  fleet::Dispatcher dispatcher(fleet::FleetOptions(), "b1", 1);
  wire::FleetState state;
  for (const std::string zone : {"a1", "b1"}) {
    wire::Instance instance;
    instance.id = "p-" + zone;
    instance.service_name = "plain";
    instance.zone = zone;
    state.instances.push_back(instance);
  }
  dispatcher.update_state(state);
  ServiceSpec plain_service;
  plain_service.name = "plain";
  const std::set<std::string> zone_a1 = {"a1"};
  const std::set<std::string> zone_c1 = {"c1"};
  for (int number = 0; number < 20; ++number) {
    const auto choice = dispatcher.choose_target(kStart, plain_service, {"", {}, 0, &zone_a1}, {});
    ASSERT_TRUE(choice.target);
    EXPECT_EQ(choice.target->instance_id, "p-a1");
  }
  EXPECT_FALSE(dispatcher.choose_target(kStart, plain_service, {"", {}, 0, &zone_c1}, {}).target);
}

}  // namespace
}  // namespace larchlever::document
