#include "simulation/deployment.h"

#include "settings/change_file.h"
#include "settings/node_settings.h"
#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr int kScaleDomain = 32;
constexpr int kScaleGroup = 16;
constexpr int kScaleTenants = 20;

}  // namespace

std::optional<Deployment> parse_deployment(const settings::IniDocument& document, const std::string& folder,
                                           std::vector<std::string>& errors) {
  const size_t faults_before = errors.size();
  Deployment deployment;
  settings::SectionReader reader("deployment", document.find_section("deployment"), errors);
  deployment.name = reader.read_required_string("name");
  deployment.nodes = static_cast<int>(reader.read_integer("nodes", 9, 1, 1000));
  deployment.disks = static_cast<int>(reader.read_integer("disks", 5, 1, 1000));
  const std::string changes = reader.read_required_string("changes");
  reader.report_unknown_keys();
  for (const auto& section : document.sections()) {
    if (!section.name.starts_with("zone ")) {
      continue;
    }
    settings::SectionReader zone(section.name, &section, errors);
    ZoneShape shape;
    shape.name = section.name.substr(5);
    shape.domains = static_cast<int>(zone.read_integer("domains", 1, 1, 1000));
    shape.machines_per_domain = static_cast<int>(zone.read_integer("machines_per_domain", 8, 1, 1000));
    shape.accelerators = static_cast<int>(zone.read_integer("accelerators", 8, 1, 64));
    shape.checks_fences = zone.read_choice("kind", "fenced", {"fenced", "basic"}) == "fenced";
    zone.report_unknown_keys();
    deployment.zones.push_back(std::move(shape));
  }
  if (const auto text = settings::read_text_file(folder + "/" + changes, errors)) {
    if (auto writes = settings::parse_change_file(*text, errors)) {
      deployment.configuration = std::move(*writes);
    }
  }
  return errors.size() > faults_before ? std::nullopt : std::optional(std::move(deployment));
}

Deployment uniform_deployment(int nodes, int machines, int zones) {
  Deployment deployment;
  deployment.name = "uniform";
  deployment.nodes = nodes;
  deployment.disks = 5;
  const int domains = std::max(1, machines / kScaleDomain / zones);
  std::vector<std::string> names;
  for (int number = 1; number <= zones; ++number) {
    ZoneShape zone;
    zone.name = "z" + std::to_string(number);
    zone.domains = domains;
    zone.machines_per_domain = machines / zones / domains;
    zone.accelerators = 4;
    names.push_back(zone.name);
    deployment.zones.push_back(zone);
  }
  wire::Template shape;
  shape.name = "main";
  shape.model = "model";
  shape.version = "1";
  shape.machines_per_group = kScaleGroup;
  wire::KeyWrite write;
  write.key = "template/main";
  write.value = wire::encode(shape);
  deployment.configuration.push_back(write);
  for (int number = 1; number <= kScaleTenants; ++number) {
    wire::Tenant tenant;
    tenant.name = "t" + std::to_string(number);
    tenant.template_name = "main";
    tenant.zones = {names[static_cast<size_t>(number) % names.size()],
                    names[static_cast<size_t>(number + 1) % names.size()]};
    tenant.share_percent = 80 / kScaleTenants;
    tenant.max_concurrent = 2000;
    write.key = "tenant/" + tenant.name;
    write.value = wire::encode(tenant);
    deployment.configuration.push_back(write);
  }
  return deployment;
}

config::RecordTable routing_records(int groups) {
  config::RecordTable records;
  wire::Template shape;
  shape.name = "main";
  shape.model = "model";
  records.put("template/main", wire::encode(shape), Revision(1));
  wire::Tenant tenant;
  tenant.name = "t";
  tenant.template_name = "main";
  tenant.zones = {"a"};
  records.put("tenant/t", wire::encode(tenant), Revision(2));
  for (int64_t id = 1; id <= groups; ++id) {
    wire::Group group;
    group.id = id;
    group.epoch = 1;
    group.state = wire::GroupState::SERVING;
    group.template_name = "main";
    group.zone = "a";
    records.put(config::group_key(id), wire::encode(group), Revision(2 + id));
  }
  return records;
}

}  // namespace larchlever::simulation
