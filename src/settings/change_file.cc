#include "settings/change_file.h"

#include "core/config/record_table.h"
#include "settings/ini_document.h"
#include "wire/codec.h"

namespace larchlever::settings {

namespace {

std::string join(const std::vector<std::string>& items) {
  std::string result;
  for (const auto& item : items) {
    result += (result.empty() ? "" : ", ") + item;
  }
  return result;
}

std::string read_template(const std::string& name, SectionReader& reader) {
  wire::Template value;
  value.name = name;
  value.model = reader.required_text("model");
  value.version = reader.required_text("version");
  value.adapters = reader.list("adapters");
  value.machines_per_group = static_cast<int32_t>(reader.integer("machines_per_group", 4, 1, 32));
  value.repeat = reader.choice("repeat", "unsafe", {"unsafe", "safe"}) == "safe" ? wire::RepeatPolicy::SAFE
                                                                                 : wire::RepeatPolicy::UNSAFE;
  return wire::encode(value);
}

std::string read_tenant(const std::string& name, SectionReader& reader) {
  wire::Tenant value;
  value.name = name;
  value.template_name = reader.required_text("template");
  value.zones = reader.list("zones");
  value.adapters = reader.list("adapters");
  value.share_percent = static_cast<int32_t>(reader.integer("share_percent", 0, 0, 100));
  value.max_concurrent = static_cast<int32_t>(reader.integer("max_concurrent", 64, 1, 1'000'000));
  value.priority = static_cast<int32_t>(reader.integer("priority", 5, 0, 9));
  const std::string repeat = reader.choice("repeat", "", {"", "unsafe", "safe"});
  if (!repeat.empty()) {
    value.__set_repeat(repeat == "safe" ? wire::RepeatPolicy::SAFE : wire::RepeatPolicy::UNSAFE);
  }
  return wire::encode(value);
}

std::string read_service(const std::string& name, SectionReader& reader) {
  wire::Service value;
  value.name = name;
  value.path_prefix = reader.required_text("path_prefix");
  value.endpoints = reader.list("endpoints");
  value.zones = reader.list("zones");
  for (const auto& endpoint : value.endpoints) {
    if (!is_ip_endpoint(endpoint)) {
      reader.fault("endpoints", endpoint, "not an address; write IP:PORT with a literal IP");
    }
  }
  return wire::encode(value);
}

std::string read_fleet_parameters(SectionReader& reader) {
  wire::FleetParameters value;
  value.placement_policy = reader.choice("placement_policy", "spare_aware", {"first_fit", "best_fit", "spare_aware"});
  value.downtime_weight = static_cast<int32_t>(reader.integer("downtime_weight", 50, 0, 100));
  value.max_concurrent_loads = static_cast<int32_t>(reader.integer("max_concurrent_loads", 4, 1, 1000));
  value.claim_window_seconds = static_cast<int32_t>(reader.integer("claim_window_seconds", 86'400, 10, 604'800));
  return wire::encode(value);
}

}  // namespace

std::optional<std::vector<wire::KeyWrite>> parse_change_file(const std::string& text,
                                                             std::vector<std::string>& errors) {
  const size_t faults_before = errors.size();
  const IniDocument document = IniDocument::parse(text, errors);
  std::vector<wire::KeyWrite> writes;
  for (const auto& section : document.sections()) {
    const size_t space = section.name.find(' ');
    const std::string kind = section.name.substr(0, space);
    const std::string name = space == std::string::npos ? "" : section.name.substr(space + 1);
    SectionReader reader(section.name, &section, errors);
    wire::KeyWrite write;
    write.key = kind;
    write.key += "/" + name;
    write.remove = reader.flag("remove", false);
    if (!write.remove) {
      if (kind == "template") {
        write.value = read_template(name, reader);
      } else if (kind == "tenant") {
        write.value = read_tenant(name, reader);
      } else if (kind == "service") {
        write.value = read_service(name, reader);
      } else if (write.key == config::kFleetParametersKey) {
        write.value = read_fleet_parameters(reader);
      } else {
        errors.push_back("[" + section.name +
                         "]: unknown section; use [template NAME], [tenant NAME], [service NAME] " +
                         "or [parameter fleet]");
        continue;
      }
    }
    reader.finish();
    writes.push_back(std::move(write));
  }
  if (writes.empty() && errors.size() == faults_before) {
    errors.emplace_back("the file holds no section; add [template NAME], [tenant NAME] or [service NAME]");
  }
  return errors.size() > faults_before ? std::nullopt : std::optional(std::move(writes));
}

std::string format_record(const wire::Record& record) {
  const size_t slash = record.key.find('/');
  const std::string kind = record.key.substr(0, slash);
  std::string text = "[" + kind + " " + record.key.substr(slash + 1) + "]\n";
  const auto line = [&text](const std::string& key, const std::string& value) {
    text += key;
    text += " = " + value + "\n";
  };
  const auto repeat_name = [](wire::RepeatPolicy::type repeat) {
    return repeat == wire::RepeatPolicy::SAFE ? "safe" : "unsafe";
  };
  if (kind == "template") {
    const auto value = wire::decode<wire::Template>(record.value).value_or(wire::Template());
    line("model", value.model);
    line("version", value.version);
    line("adapters", join(value.adapters));
    line("machines_per_group", std::to_string(value.machines_per_group));
    line("repeat", repeat_name(value.repeat));
  } else if (kind == "tenant") {
    const auto value = wire::decode<wire::Tenant>(record.value).value_or(wire::Tenant());
    line("template", value.template_name);
    line("zones", join(value.zones));
    line("adapters", join(value.adapters));
    line("share_percent", std::to_string(value.share_percent));
    line("max_concurrent", std::to_string(value.max_concurrent));
    line("priority", std::to_string(value.priority));
    if (value.__isset.repeat) {
      line("repeat", repeat_name(value.repeat));
    }
  } else if (kind == "service") {
    const auto value = wire::decode<wire::Service>(record.value).value_or(wire::Service());
    line("path_prefix", value.path_prefix);
    line("endpoints", join(value.endpoints));
    line("zones", join(value.zones));
  } else if (kind == "parameter") {
    const auto value = wire::decode<wire::FleetParameters>(record.value).value_or(wire::FleetParameters());
    line("placement_policy", value.placement_policy);
    line("downtime_weight", std::to_string(value.downtime_weight));
    line("max_concurrent_loads", std::to_string(value.max_concurrent_loads));
    line("claim_window_seconds", std::to_string(value.claim_window_seconds));
  } else {
    return "";
  }
  return text;
}

}  // namespace larchlever::settings
