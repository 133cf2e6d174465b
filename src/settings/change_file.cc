#include "settings/change_file.h"

#include "core/config/record_table.h"
#include "settings/ini_document.h"
#include "wire/codec.h"

namespace larchlever::settings {

namespace {

std::string join_with_commas(const std::vector<std::string>& items) {
  std::string result;
  for (const auto& item : items) {
    result += (result.empty() ? "" : ", ") + item;
  }
  return result;
}

std::string read_template(const std::string& name, SectionReader& reader) {
  wire::Template value;
  value.name = name;
  value.model = reader.read_required_string("model");
  value.version = reader.read_required_string("version");
  value.adapters = reader.read_list("adapters");
  value.machines_per_group = static_cast<int32_t>(reader.read_integer("machines_per_group", 4, 1, 32));
  value.repeat = reader.read_choice("repeat", "unsafe", {"unsafe", "safe"}) == "safe" ? wire::RepeatPolicy::SAFE
                                                                                      : wire::RepeatPolicy::UNSAFE;
  return wire::encode(value);
}

std::string read_tenant(const std::string& name, SectionReader& reader) {
  wire::Tenant value;
  value.name = name;
  value.template_name = reader.read_required_string("template");
  value.zones = reader.read_list("zones");
  value.adapters = reader.read_list("adapters");
  value.share_percent = static_cast<int32_t>(reader.read_integer("share_percent", 0, 0, 100));
  value.max_concurrent = static_cast<int32_t>(reader.read_integer("max_concurrent", 64, 1, 1'000'000));
  value.priority = static_cast<int32_t>(reader.read_integer("priority", 5, 0, 9));
  const std::string repeat = reader.read_choice("repeat", "", {"", "unsafe", "safe"});
  if (!repeat.empty()) {
    value.__set_repeat(repeat == "safe" ? wire::RepeatPolicy::SAFE : wire::RepeatPolicy::UNSAFE);
  }
  return wire::encode(value);
}

std::string read_service(const std::string& name, SectionReader& reader) {
  wire::Service value;
  value.name = name;
  value.path_prefix = reader.read_required_string("path_prefix");
  value.endpoints = reader.read_list("endpoints");
  value.zones = reader.read_list("zones");
  for (const auto& endpoint : value.endpoints) {
    if (!is_ip_endpoint(endpoint)) {
      reader.add_error("endpoints", endpoint, "not an address; write IP:PORT with a literal IP");
    }
  }
  return wire::encode(value);
}

std::string read_fleet_parameters(SectionReader& reader) {
  wire::FleetParameters value;
  value.placement_policy =
      reader.read_choice("placement_policy", "spare_aware", {"first_fit", "best_fit", "spare_aware"});
  value.downtime_weight = static_cast<int32_t>(reader.read_integer("downtime_weight", 50, 0, 100));
  value.max_concurrent_loads = static_cast<int32_t>(reader.read_integer("max_concurrent_loads", 4, 1, 1000));
  value.claim_window_seconds = static_cast<int32_t>(reader.read_integer("claim_window_seconds", 86'400, 10, 604'800));
  return wire::encode(value);
}

}  // namespace

std::optional<std::vector<wire::KeyWrite>> parse_change_file(const std::string& text,
                                                             std::vector<std::string>& errors) {
  const size_t errors_before = errors.size();
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
    write.remove = reader.read_flag("remove", false);
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
    reader.report_unknown_keys();
    writes.push_back(std::move(write));
  }
  if (writes.empty() && errors.size() == errors_before) {
    errors.emplace_back("the file contains no section; add [template NAME], [tenant NAME] or [service NAME]");
  }
  return errors.size() > errors_before ? std::nullopt : std::optional(std::move(writes));
}

std::string format_record(const wire::Record& record) {
  const size_t slash = record.key.find('/');
  const std::string kind = record.key.substr(0, slash);
  std::string text = "[" + kind + " " + record.key.substr(slash + 1) + "]\n";
  const auto add_line = [&text](const std::string& key, const std::string& value) {
    text += key;
    text += " = " + value + "\n";
  };
  const auto repeat_name = [](wire::RepeatPolicy::type repeat) {
    return repeat == wire::RepeatPolicy::SAFE ? "safe" : "unsafe";
  };
  if (kind == "template") {
    const auto value = wire::decode<wire::Template>(record.value).value_or(wire::Template());
    add_line("model", value.model);
    add_line("version", value.version);
    add_line("adapters", join_with_commas(value.adapters));
    add_line("machines_per_group", std::to_string(value.machines_per_group));
    add_line("repeat", repeat_name(value.repeat));
  } else if (kind == "tenant") {
    const auto value = wire::decode<wire::Tenant>(record.value).value_or(wire::Tenant());
    add_line("template", value.template_name);
    add_line("zones", join_with_commas(value.zones));
    add_line("adapters", join_with_commas(value.adapters));
    add_line("share_percent", std::to_string(value.share_percent));
    add_line("max_concurrent", std::to_string(value.max_concurrent));
    add_line("priority", std::to_string(value.priority));
    if (value.__isset.repeat) {
      add_line("repeat", repeat_name(value.repeat));
    }
  } else if (kind == "service") {
    const auto value = wire::decode<wire::Service>(record.value).value_or(wire::Service());
    add_line("path_prefix", value.path_prefix);
    add_line("endpoints", join_with_commas(value.endpoints));
    add_line("zones", join_with_commas(value.zones));
  } else if (kind == "parameter") {
    const auto value = wire::decode<wire::FleetParameters>(record.value).value_or(wire::FleetParameters());
    add_line("placement_policy", value.placement_policy);
    add_line("downtime_weight", std::to_string(value.downtime_weight));
    add_line("max_concurrent_loads", std::to_string(value.max_concurrent_loads));
    add_line("claim_window_seconds", std::to_string(value.claim_window_seconds));
  } else {
    return "";
  }
  return text;
}

}  // namespace larchlever::settings
