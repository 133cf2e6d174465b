#include "core/document/home_regions.h"

#include <gtest/gtest.h>

#include "core/fleet/dispatcher.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::document {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
const ZoneRegions kRegions = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"c1", "c"}, {"x", ""}};

Route route_at(std::vector<std::string> homes) {
  Route route;
  route.home_regions = std::move(homes);
  return route;
}

TenantSpec tenant_at(std::vector<std::string> homes) {
  TenantSpec tenant;
  tenant.home_regions = std::move(homes);
  return tenant;
}

TEST(HomeRegions, BindByRouteAndTenant) {
  using Zones = std::set<std::string>;
  const auto nobody = tenant_at({});
  const auto of_a_and_c = tenant_at({"a", "c"});
  EXPECT_FALSE(allowed_zones(kRegions, route_at({}), &nobody));
  EXPECT_FALSE(allowed_zones(kRegions, route_at({}), nullptr));
  EXPECT_EQ(allowed_zones(kRegions, route_at({"a"}), nullptr), (Zones{"a1", "a2"}));
  EXPECT_EQ(allowed_zones(kRegions, route_at({}), &of_a_and_c), (Zones{"a1", "a2", "c1"}));
  EXPECT_EQ(allowed_zones(kRegions, route_at({"b", "c"}), &of_a_and_c), (Zones{"c1"}));
  EXPECT_EQ(allowed_zones(kRegions, route_at({"b"}), &of_a_and_c), Zones{}) << "nowhere, not anywhere";
  EXPECT_EQ(allowed_zones({}, route_at({"b"}), nullptr), Zones{}) << "no zone is known to be a home";
}

TEST(HomeRegions, NameThePlaceOfAnUnknownOne) {
  ConfigurationDocument document;
  document.routes = {route_at({}), route_at({"a", "d"})};
  const auto error = find_unknown_region(kRegions, document);
  ASSERT_TRUE(error);
  EXPECT_NE(error->message.find("routes[1].allowed_regions"), std::string::npos) << error->message;
  EXPECT_NE(error->message.find("a, b, c"), std::string::npos) << error->message;
  EXPECT_FALSE(find_unknown_region({{"a1", ""}}, document)) << "the settings name no regions";
  document.routes.clear();
  document.tenants = {tenant_at({"b"}), tenant_at({"z"})};
  EXPECT_NE(find_unknown_region(kRegions, document)->message.find("tenants[1]"), std::string::npos);
}

TEST(HomeRegions, AreReadFromRoutesAndTenants) {
  const auto parsed = parse_document(
      R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","path_prefix":"/","timeout_ms":100,)"
      R"("service":"s","allowed_regions":["a"]}],"tenants":[{"name":"t","api_keys":["k"],"allowed_regions":["b"]}]})");
  ASSERT_NE(parsed.document, nullptr) << parsed.error.message;
  EXPECT_EQ(parsed.document->routes[0].home_regions, std::vector<std::string>{"a"});
  EXPECT_EQ(parsed.document->tenants->front().home_regions, std::vector<std::string>{"b"});
}

wire::EngineGroup open_group(const std::string& name, const std::vector<std::string>& zones) {
  wire::EngineGroup group;
  group.name = name;
  group.service_name = "s";
  group.model = "m";
  group.phase = wire::GroupPhase::OPEN;
  group.members = {"i-" + name};
  group.zones = zones;
  return group;
}

ConfigurationDocument engine_document() {
  ServiceSpec service;
  service.name = "s";
  auto& engine = service.engine.emplace();
  engine.slots = 2;
  engine.models.push_back({"m", 1, 1.0, 1.0, {}, {}});
  ConfigurationDocument document;
  document.services["s"] = service;
  return document;
}

// Requests bound to a full region wait; they hold up nobody who may run elsewhere.
TEST(SlotScheduler, GrantsSlotsAtHomeAlone) {
  fleet::SlotScheduler scheduler;
  scheduler.start(1);
  scheduler.set_groups({open_group("home", {"a1"}), open_group("mixed", {"a1", "b1"}), open_group("away", {"b1"})});
  const auto document = engine_document();
  int64_t id = 0;
  const auto ask = [&](bool is_bound) {
    wire::SlotRequest request;
    request.id = ++id;
    request.service_name = "s";
    request.model = "m";
    request.patience_ms = 100;
    if (is_bound) {
      request.__set_allowed_zones({"a1", "a2"});
    }
    scheduler.add_request(kStart, "n", request);
    wire::SlotGrant grant;
    for (const auto& decision : scheduler.decide(kStart, document)) {
      grant = decision.grant.id == id ? decision.grant : grant;
    }
    return grant;
  };
  EXPECT_EQ(ask(true).group, "home");
  EXPECT_EQ(ask(true).group, "home");
  EXPECT_EQ(ask(true).verdict, wire::SlotVerdict::QUEUED) << "home is full";
  EXPECT_EQ(ask(false).verdict, wire::SlotVerdict::GRANTED);
}

TEST(Dispatcher, ChoosesServersAtHomeAlone) {
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
  ServiceSpec plain;
  plain.name = "plain";
  const std::set<std::string> home = {"a1"};
  const std::set<std::string> nowhere = {"c1"};
  for (int number = 0; number < 20; ++number) {
    const auto choice = dispatcher.choose_target(kStart, plain, {"", {}, 0, &home}, {});
    ASSERT_TRUE(choice.target);
    EXPECT_EQ(choice.target->instance_id, "p-a1");
  }
  EXPECT_FALSE(dispatcher.choose_target(kStart, plain, {"", {}, 0, &nowhere}, {}).target);
}

}  // namespace
}  // namespace larchlever::document
