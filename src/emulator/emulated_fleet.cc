#include "emulator/emulated_fleet.h"

#include "settings/ini_document.h"

namespace larchlever::emulator {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

void read_zone_section(const std::string& zone, const settings::IniDocument::Section& section,
                       const std::string& address, int64_t& next_port, EmulatedFleetSettings& fleet,
                       std::vector<std::string>& errors) {
  settings::SectionReader reader(section.name, &section, errors);
  const int64_t domains = reader.read_integer("domains", 1, 1, 1000);
  const int64_t machines = reader.read_integer("machines_per_domain", 8, 1, 1000);
  const int64_t accelerators = reader.read_integer("accelerators", 8, 1, 64);
  const std::string kind = reader.read_choice("kind", "fenced", {"fenced", "basic"});
  const int64_t lag = reader.read_integer("load_report_lag_ms", 300, 0, 60'000);
  EngineModelOptions engine;
  engine.max_running_requests = static_cast<size_t>(reader.read_integer("most_running", 64, 1, 4096));
  engine.step_base_time = microseconds(reader.read_integer("step_us", 12'000, 1, 10'000'000));
  engine.step_time_per_sequence = microseconds(reader.read_integer("step_per_sequence_us", 150, 0, 1'000'000));
  engine.prefill_time_per_token = microseconds(reader.read_integer("prefill_per_token_us", 50, 0, 1'000'000));
  engine.max_cached_blocks = static_cast<size_t>(reader.read_integer("cache_blocks", 4096, 1, 10'000'000));
  reader.report_unknown_keys();
  for (int64_t domain = 0; domain < domains; ++domain) {
    for (int64_t machine = 0; machine < machines; ++machine) {
      MachineOptions options;
      options.zone = zone;
      options.domain = zone;
      options.domain += "-d" + std::to_string(domain + 1);
      options.id = options.domain;
      options.id += "-m" + std::to_string(machine + 1);
      options.accelerators = static_cast<int>(accelerators);
      options.kind = kind;
      options.address = address;
      options.port = static_cast<uint16_t>(next_port == 0 ? 0 : next_port++);
      options.load_report_lag = std::chrono::milliseconds(lag);
      options.engine = engine;
      fleet.machines.push_back(std::move(options));
    }
  }
}

void read_service_section(const std::string& name, const settings::IniDocument::Section& section,
                          EmulatedFleetSettings& fleet, std::vector<std::string>& errors) {
  settings::SectionReader reader(section.name, &section, errors);
  EmulatedService service;
  service.name = name;
  service.zone = reader.read_required_string("zone");
  for (const auto& port : reader.read_list("ports")) {
    service.ports.push_back(static_cast<uint16_t>(std::atoi(port.c_str())));
  }
  reader.report_unknown_keys();
  fleet.services.push_back(std::move(service));
}

}  // namespace

std::optional<EmulatedFleetSettings> parse_emulated_fleet_settings(const std::string& text,
                                                                   std::vector<std::string>& errors) {
  const size_t error_count_before = errors.size();
  const auto document = settings::IniDocument::parse(text, errors);
  EmulatedFleetSettings fleet;
  settings::SectionReader reader("fleet", document.find_section("fleet"), errors);
  fleet.address = reader.read_string("address", fleet.address);
  fleet.membership_port = static_cast<uint16_t>(reader.read_integer("membership_port", 0, 0, 65535));
  fleet.membership_lag = std::chrono::milliseconds(reader.read_integer("membership_lag_ms", 2000, 0, 600'000));
  fleet.weight_store_port = static_cast<uint16_t>(reader.read_integer("weight_store_port", 0, 0, 65535));
  fleet.weight_store.max_concurrent_transfers =
      static_cast<int>(reader.read_integer("weight_transfers_at_once", 8, 1, 10'000));
  fleet.weight_store.transfer_time =
      std::chrono::milliseconds(reader.read_integer("weight_transfer_ms", 400, 0, 600'000));
  int64_t next_port = reader.read_integer("machine_port_base", 0, 0, 65535);
  reader.report_unknown_keys();
  for (const auto& section : document.sections()) {
    if (section.name.starts_with("zone ")) {
      read_zone_section(section.name.substr(5), section, fleet.address, next_port, fleet, errors);
    } else if (section.name.starts_with("service ")) {
      read_service_section(section.name.substr(8), section, fleet, errors);
    } else if (section.name != "fleet") {
      errors.push_back("[" + section.name + "]: unknown section; use [fleet], [zone NAME] or [service NAME]");
    }
  }
  return errors.size() > error_count_before ? std::nullopt : std::optional(std::move(fleet));
}

EmulatedFleet::EmulatedFleet(asio::any_io_executor executor, EmulatedFleetSettings settings)
    : executor_(executor), settings_(std::move(settings)), weight_store_(executor, settings_.weight_store) {}

bool EmulatedFleet::start(std::string& error) {
  servers_.push_back(std::make_unique<net::HttpServer>(executor_, net::HttpServerOptions(), weight_store_));
  const auto store_port = servers_.back()->listen(settings_.address, settings_.weight_store_port, error);
  if (!store_port) {
    return false;
  }
  const std::string weight_store_endpoint = settings_.address + ":" + std::to_string(*store_port);
  for (auto& options : settings_.machines) {
    options.weight_store = weight_store_endpoint;
    machines_.push_back(std::make_unique<EmulatedMachine>(executor_, options, log_,
                                                          [this](const std::string& id) { return find_machine(id); }));
    if (!machines_.back()->start(error)) {
      return false;
    }
    membership_listings_[options.id] = MembershipListing{options.id, false, false};
  }
  for (const auto& service : settings_.services) {
    for (const uint16_t configured_port : service.ports) {
      services_.push_back(std::make_unique<PlainService>(executor_, service.name, service.zone, log_));
      servers_.push_back(std::make_unique<net::HttpServer>(executor_, net::HttpServerOptions(), *services_.back()));
      const auto port = servers_.back()->listen(settings_.address, configured_port, error);
      if (!port) {
        return false;
      }
      service_endpoints_[service.name].push_back(settings_.address + ":" + std::to_string(*port));
    }
  }
  servers_.push_back(std::make_unique<net::HttpServer>(executor_, net::HttpServerOptions(), *this));
  const auto port = servers_.back()->listen(settings_.address, settings_.membership_port, error);
  membership_port_ = port.value_or(0);
  return port.has_value();
}

std::string EmulatedFleet::membership_endpoint() const {
  return settings_.address + ":" + std::to_string(membership_port_);
}

std::vector<std::string> EmulatedFleet::service_endpoints(const std::string& name) const {
  const auto found = service_endpoints_.find(name);
  return found == service_endpoints_.end() ? std::vector<std::string>() : found->second;
}

EmulatedMachine* EmulatedFleet::find_machine(const std::string& id) {
  for (const auto& machine : machines_) {
    if (machine->options().id == id) {
      return machine.get();
    }
  }
  return nullptr;
}

std::string EmulatedFleet::membership_json() const {
  json::array members;
  for (const auto& machine : machines_) {
    const auto& listing = membership_listings_.at(machine->options().id);
    if (listing.is_removed) {
      continue;
    }
    const auto& options = machine->options();
    members.push_back(json::object{{"id", options.id},
                                   {"address", machine->endpoint()},
                                   {"zone", options.zone},
                                   {"domain", options.domain},
                                   {"accelerators", options.accelerators},
                                   {"kind", options.kind},
                                   {"state", listing.leaving ? "leaving" : "live"}});
  }
  return json::serialize(json::object{{"members", members}});
}

std::string EmulatedFleet::execution_log_json(size_t first_position) const {
  json::array list;
  const auto& all = log_.executions();
  for (size_t position = first_position; position < all.size(); ++position) {
    const auto& item = all[position];
    list.push_back(json::object{{"request", item.request_id},
                                {"key", item.key},
                                {"machine", item.machine},
                                {"zone", item.zone},
                                {"tenant", item.tenant},
                                {"tag", item.tag},
                                {"started_ms", item.started_ms},
                                {"produced", item.produced_tokens},
                                {"completed", item.completed}});
  }
  return json::serialize(json::object{{"executions", list}});
}

void EmulatedFleet::publish_after_lag(const std::string& machine, bool leaving, bool is_removed) {
  auto timer = std::make_shared<asio::steady_timer>(executor_, settings_.membership_lag);
  timer->async_wait([this, timer, machine, leaving, is_removed](boost::system::error_code error) {
    if (!error) {
      membership_listings_[machine].leaving = leaving;
      membership_listings_[machine].is_removed = is_removed;
    }
  });
}

bool EmulatedFleet::inject_fault(const std::string& id, const std::string& action) {
  auto* machine = find_machine(id);
  if (machine == nullptr) {
    return false;
  }
  if (action == "die") {
    machine->die();
    publish_after_lag(id, false, true);
  } else if (action == "pause") {
    machine->pause();
  } else if (action == "resume") {
    machine->resume();
  } else if (action == "return") {
    std::string error;
    machine->die();
    publish_after_lag(id, false, false);
    return machine->start(error);
  } else if (action == "leave") {
    publish_after_lag(id, true, false);
  } else {
    return false;
  }
  return true;
}

asio::awaitable<void> EmulatedFleet::handle(net::HttpExchange& exchange) {
  const auto& request = exchange.request();
  const auto path = request.path();
  net::HttpResponse response;
  response.headers.add("Content-Type", "application/json");
  if (path == "/members") {
    response.body = membership_json();
  } else if (path == "/emulator/log") {
    response.body =
        execution_log_json(static_cast<size_t>(std::atoll(query_parameter(request.target, "from").c_str())));
  } else if (path == "/emulator/fault" && request.method == "POST") {
    const bool done =
        inject_fault(query_parameter(request.target, "machine"), query_parameter(request.target, "action"));
    response.status = done ? 200 : 400;
    response.body = done ? "{}" : R"({"error":"unknown machine or action"})";
  } else {
    response.status = 404;
    response.body = R"({"error":"no such path"})";
  }
  co_await exchange.respond(std::move(response));
}

}  // namespace larchlever::emulator
