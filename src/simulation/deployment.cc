#include "simulation/deployment.h"

#include "settings/change_file.h"
#include "settings/node_settings.h"
#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr int kScaleMachinesPerDomain = 32;
constexpr int kScaleMachinesPerGroup = 16;
constexpr int kScaleTenantCount = 20;

}  // namespace

std::optional<Deployment> parse_deployment(const settings::IniDocument& document, const std::string& folder,
                                           std::vector<std::string>& errors) {
  const size_t error_count_before = errors.size();
  Deployment deployment;
  settings::SectionReader reader("deployment", document.find_section("deployment"), errors);
  deployment.name = reader.read_required_string("name");
  deployment.node_count = static_cast<int>(reader.read_integer("nodes", 9, 1, 1000));
  deployment.disk_count = static_cast<int>(reader.read_integer("disks", 5, 1, 1000));
  const std::string changes = reader.read_required_string("changes");
  reader.report_unknown_keys();
  for (const auto& section : document.sections()) {
    if (!section.name.starts_with("zone ")) {
      continue;
    }
    settings::SectionReader zone(section.name, &section, errors);
    ZoneOptions zone_options;
    zone_options.name = section.name.substr(5);
    zone_options.domains = static_cast<int>(zone.read_integer("domains", 1, 1, 1000));
    zone_options.machines_per_domain = static_cast<int>(zone.read_integer("machines_per_domain", 8, 1, 1000));
    zone_options.accelerators = static_cast<int>(zone.read_integer("accelerators", 8, 1, 64));
    zone_options.checks_fences = zone.read_choice("kind", "fenced", {"fenced", "basic"}) == "fenced";
    zone.report_unknown_keys();
    deployment.zones.push_back(std::move(zone_options));
  }
  if (const auto text = settings::read_text_file(folder + "/" + changes, errors)) {
    if (auto writes = settings::parse_change_file(*text, errors)) {
      deployment.configuration = std::move(*writes);
    }
  }
  return errors.size() > error_count_before ? std::nullopt : std::optional(std::move(deployment));
}

Deployment make_uniform_deployment(int nodes, int machines, int zones) {
  Deployment deployment;
  deployment.name = "uniform";
  deployment.node_count = nodes;
  deployment.disk_count = 5;
  const int domains = std::max(1, machines / kScaleMachinesPerDomain / zones);
  std::vector<std::string> zone_names;
  for (int number = 1; number <= zones; ++number) {
    ZoneOptions zone;
    zone.name = "z" + std::to_string(number);
    zone.domains = domains;
    zone.machines_per_domain = machines / zones / domains;
    zone.accelerators = 4;
    zone_names.push_back(zone.name);
    deployment.zones.push_back(zone);
  }
  wire::Template model_template;
  model_template.name = "main";
  model_template.model = "model";
  model_template.version = "1";
  model_template.machines_per_group = kScaleMachinesPerGroup;
  wire::KeyWrite write;
  write.key = "template/main";
  write.value = wire::encode(model_template);
  deployment.configuration.push_back(write);
  for (int number = 1; number <= kScaleTenantCount; ++number) {
    wire::Tenant tenant;
    tenant.name = "t" + std::to_string(number);
    tenant.template_name = "main";
    tenant.zones = {zone_names[static_cast<size_t>(number) % zone_names.size()],
                    zone_names[static_cast<size_t>(number + 1) % zone_names.size()]};
    tenant.share_percent = 80 / kScaleTenantCount;
    tenant.max_concurrent = 2000;
    write.key = "tenant/" + tenant.name;
    write.value = wire::encode(tenant);
    deployment.configuration.push_back(write);
  }
  return deployment;
}

config::RecordTable make_routing_records(int groups) {
  config::RecordTable records;
  wire::Template model_template;
  model_template.name = "main";
  model_template.model = "model";
  records.put("template/main", wire::encode(model_template), Revision(1));
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
