#include "node/node_runtime.h"

#include <boost/json.hpp>
#include <random>

#include "core/base/json_fields.h"
#include "node/clock.h"
#include "node/logging.h"
#include "node/replica_storage.h"

namespace larchlever::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
constexpr auto kTickInterval = std::chrono::milliseconds(5);
constexpr auto kPollInterval = std::chrono::milliseconds(400);
constexpr auto kPollTimeout = std::chrono::milliseconds(900);
constexpr auto kOrderTimeout = std::chrono::milliseconds(900);
constexpr auto kMembershipInterval = std::chrono::milliseconds(1000);
constexpr auto kMembershipTimeout = std::chrono::milliseconds(2000);

}  // namespace

TimePoint NodeRuntime::now() { return monotonic_now(); }

int64_t NodeRuntime::wall_clock_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

NodeRuntime::NodeRuntime(asio::any_io_executor executor, const settings::NodeSettings& settings)
    : executor_(executor),
      settings_(settings),
      transport_(executor,
                 [this](wire::Envelope envelope) {
                   controller_->receive(now(), std::move(envelope));
                   process_outputs();
                 }),
      client_(executor) {}

NodeRuntime::~NodeRuntime() { stop(); }

bool NodeRuntime::start(const std::string& service_address, std::string& error) {
  const auto [host, port] = net::split_endpoint(settings_.peer_address);
  const auto bound_port = transport_.listen(host, static_cast<uint16_t>(std::stoi(port)), error);
  if (!bound_port) {
    return false;
  }
  peer_address_ = host + ":" + std::to_string(*bound_port);
  NodeIdentity identity;
  identity.node = settings_.name;
  identity.zone = settings_.zone;
  // Increases with every start, unless the wall clock jumps back by more than the restart took.
  identity.incarnation = Incarnation(
      std::chrono::duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
  identity.peer_address = peer_address_;
  identity.service_address = service_address;
  auto options = settings_.controller;
  options.seed = std::random_device()();
  controller_ = std::make_unique<NodeController>(options, identity, now());
  for (const auto& [node, endpoint] : settings_.control_nodes) {
    if (node != settings_.name) {
      transport_.set_address(node, endpoint);
    }
  }
  if (!settings_.data_folder.empty() && !open_data_folder(error)) {
    return false;
  }
  asio::co_spawn(executor_, tick_loop(), asio::detached);
  asio::co_spawn(executor_, poll_loop(), asio::detached);
  if (!settings_.membership_list.empty()) {
    asio::co_spawn(executor_, membership_loop(), asio::detached);
  }
  return true;
}

bool NodeRuntime::open_data_folder(std::string& error) {
  storage::StorageError failure;
  auto folder = storage::DataFolder::open(settings_.data_folder, file_system_, failure);
  if (folder == nullptr) {
    error = failure.message;
    return false;
  }
  if (folder->replica_id() == ReplicaId()) {
    if (const auto problem = folder->assign_identity(new_replica_id())) {
      error = problem->message;
      return false;
    }
    log_event(settings_.name, "replica_identity_assigned", {{"replica", std::to_string(folder->replica_id().value())}});
  }
  const ReplicaId id = folder->replica_id();
  controller_->start_replica(now(), id, folder->take_recovered_state());
  start_worker(std::move(folder));
  return true;
}

void NodeRuntime::start_worker(std::unique_ptr<storage::DataFolder> folder) {
  const std::weak_ptr<bool> alive = alive_;
  worker_ = std::make_unique<StorageWorker>(
      std::move(folder),
      [this, alive](std::vector<consensus::RaftOutput> batches) {
        asio::post(executor_, [this, alive, batches = std::move(batches)]() mutable {
          if (!alive.expired()) {
            on_written(std::move(batches));
          }
        });
      },
      [this, alive](storage::StorageError problem) {
        asio::post(executor_, [this, alive, problem = std::move(problem)] {
          if (!alive.expired()) {
            replica_failure_ = problem.message;
            log_warning(settings_.name, "replica_stopped",
                        {{"kind", storage::to_string(problem.kind)}, {"reason", problem.message}});
            controller_->replica_failed();
          }
        });
      });
}

void NodeRuntime::renew_identity() {
  auto folder = worker_->stop();
  worker_.reset();
  const ReplicaId id = new_replica_id();
  if (folder == nullptr || folder->assign_identity(id)) {
    controller_->replica_failed();
    return;
  }
  log_warning(settings_.name, "replica_identity_renewed",
              {{"reason", "the disk had lost acknowledged log entries"}, {"replica", std::to_string(id.value())}});
  controller_->start_replica(now(), id, {});
  start_worker(std::move(folder));
}

void NodeRuntime::stop() {
  *alive_ = false;
  alive_.reset();
  transport_.close_all();
  worker_.reset();
  const auto cancel_timers = [](auto& pending_results) {
    for (auto& [id, pending_result] : pending_results) {
      pending_result->timer.cancel();
    }
  };
  cancel_timers(pending_admissions_);
  cancel_timers(pending_claims_);
  cancel_timers(pending_operator_requests_);
  alive_ = std::make_shared<bool>(false);
}

void NodeRuntime::begin_leaving() {
  controller_->begin_leaving(now());
  process_outputs();
}

storage::StorageStats NodeRuntime::storage_stats() const {
  return worker_ ? worker_->stats() : storage::StorageStats();
}

// -------------------------------------------------------- controller outputs

void NodeRuntime::on_written(std::vector<consensus::RaftOutput> batches) {
  for (auto& batch : batches) {
    controller_->on_storage_written(now(), std::move(batch));
  }
  process_outputs();
}

void NodeRuntime::process_outputs() {
  auto outputs = controller_->take_outputs();
  for (const auto& envelope : outputs.envelopes) {
    transport_.send(envelope);
  }
  for (auto& output : outputs.storage) {
    if (worker_) {
      worker_->submit(std::move(output));
    }
  }
  for (auto& order : outputs.orders) {
    asio::co_spawn(executor_, send_order(std::move(order)), asio::detached);
  }
  for (auto& outcome : outputs.claim_outcomes) {
    if (const auto pending_result = pending_claims_.find(outcome.request_id); pending_result != pending_claims_.end()) {
      pending_result->second->result = std::move(outcome);
      pending_result->second->timer.cancel();
    }
  }
  for (auto& reply : outputs.operator_replies) {
    if (const auto pending_result = pending_operator_requests_.find(reply.request_id);
        pending_result != pending_operator_requests_.end()) {
      pending_result->second->result = std::move(reply);
      pending_result->second->timer.cancel();
    }
  }
}

void NodeRuntime::log_state_changes() {
  const auto& entry = controller_->entry();
  const bool has_lease = entry.has_configuration_lease(now());
  const bool leads = controller_->acts_as_leader(now());
  if (entry.leader() != last_leader_) {
    last_leader_ = entry.leader();
    log_event(settings_.name, "leader_followed", {{"leader", last_leader_}});
  }
  if (leads != was_leader_) {
    was_leader_ = leads;
    log_event(settings_.name, leads ? "leadership_begun" : "leadership_ended",
              {{"term", std::to_string(controller_->raft() ? controller_->raft()->term() : 0)}});
  }
  if (has_lease != had_lease_) {
    had_lease_ = has_lease;
    log_event(settings_.name, has_lease ? "configuration_lease_gained" : "configuration_lease_lost",
              {{"revision", std::to_string(entry.revision().value())}});
  }
}

asio::awaitable<void> NodeRuntime::tick_loop() {
  const auto alive = alive_;
  asio::steady_timer timer(executor_);
  while (*alive) {
    controller_->tick(now(), wall_clock_ms());
    process_outputs();
    complete_admissions();
    log_state_changes();
    if (controller_->needs_new_identity() && worker_) {
      renew_identity();
    }
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwaitWithError);
  }
}

// ------------------------------------------------- engines and membership

asio::awaitable<void> NodeRuntime::poll_loop() {
  const auto alive = alive_;
  asio::steady_timer timer(executor_);
  while (*alive) {
    for (const auto& target : controller_->entry().watch_targets()) {
      if (!polls_in_flight_[target.machine]) {
        polls_in_flight_[target.machine] = true;
        asio::co_spawn(executor_, poll_machine(target), asio::detached);
      }
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(kAwaitWithError);
  }
}

asio::awaitable<void> NodeRuntime::poll_machine(wire::WatchTarget target) {
  const auto alive = alive_;
  net::HttpRequest request;
  request.target = "/engine/state";
  const TimePoint poll_started_at = now();
  const auto result = co_await client_.fetch(target.endpoint, request, kPollTimeout);
  if (!*alive) {
    co_return;
  }
  polls_in_flight_[target.machine] = false;
  ++stats_.polls;
  if (!result.response || result.response->status != 200) {
    ++stats_.poll_failures;
    co_return;
  }
  const auto state = parse_json_object(result.response->body);
  const auto listed = listed_machines_.find(target.machine);
  const bool location_mismatch =
      listed != listed_machines_.end() &&
      (string_field(state, "zone") != listed->second.zone || string_field(state, "domain") != listed->second.domain);
  if (string_field(state, "machine") != target.machine || location_mismatch) {
    // Another machine answers at this address, or the machine is not where the platform lists it. It does not count as
    // seen.
    ++stats_.poll_mismatches;
    co_return;
  }
  wire::MachineSighting sighting;
  sighting.machine = target.machine;
  sighting.incarnation = integer_field(state, "incarnation");
  sighting.group_id = integer_field(state, "group");
  sighting.epoch = static_cast<int32_t>(integer_field(state, "epoch"));
  const auto* loaded = state.if_contains("loaded");
  sighting.loaded = loaded != nullptr && loaded->is_bool() && loaded->as_bool();
  sighting.load = static_cast<int32_t>(integer_field(state, "load"));
  controller_->on_sighting(poll_started_at, sighting);
}

asio::awaitable<void> NodeRuntime::membership_loop() {
  const auto alive = alive_;
  asio::steady_timer timer(executor_);
  while (*alive) {
    net::HttpRequest request;
    request.target = "/members";
    const auto result = co_await client_.fetch(settings_.membership_list, request, kMembershipTimeout);
    if (!*alive) {
      co_return;
    }
    const auto body = result.response ? parse_json_object(result.response->body) : json::object();
    std::vector<wire::Machine> machines;
    std::set<std::string> leaving;
    if (const auto* members = body.if_contains("members"); members != nullptr && members->is_array()) {
      for (const auto& item : members->as_array()) {
        if (!item.is_object()) {
          continue;
        }
        const auto& member = item.as_object();
        wire::Machine machine;
        machine.id = string_field(member, "id");
        machine.endpoint = string_field(member, "address");
        machine.zone = string_field(member, "zone");
        machine.domain = string_field(member, "domain");
        machine.accelerators = static_cast<int32_t>(integer_field(member, "accelerators"));
        machine.checks_fences = !settings_.kinds_without_fences.contains(string_field(member, "kind"));
        machine.leaving = string_field(member, "state") == "leaving";
        if (machine.leaving) {
          leaving.insert(machine.endpoint);
        }
        listed_machines_[machine.id] = machine;
        machines.push_back(std::move(machine));
      }
    }
    controller_->on_membership_list(machines);
    endpoints_.set_leaving(std::move(leaving));
    timer.expires_after(kMembershipInterval);
    co_await timer.async_wait(kAwaitWithError);
  }
}

asio::awaitable<void> NodeRuntime::send_order(control::EngineOrder order) {
  const auto alive = alive_;
  json::array members(order.members.begin(), order.members.end());
  json::array adapters(order.adapters.begin(), order.adapters.end());
  json::object body;
  body["kind"] = order.kind == control::OrderKind::kLoad ? "load" : "release";
  body["group"] = order.group_id;
  body["epoch"] = order.epoch;
  body["term"] = order.term;
  body["incarnation"] = order.incarnation;
  body["rank"] = order.rank;
  body["model"] = order.model;
  body["version"] = order.version;
  body["adapters"] = adapters;
  body["members"] = members;
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/engine/orders";
  request.headers.add("Content-Type", "application/json");
  request.body = json::serialize(body);
  // Send only while this node leads with a valid lease; engines that do not check fencing tokens depend on this.
  net::OpenOptions options;
  options.timeout = kOrderTimeout;
  options.require_new_connection = true;
  options.may_send = [this, alive] { return *alive && controller_->acts_as_leader(now()); };
  auto opened = co_await client_.open(order.endpoint, request, options);
  if (!*alive) {
    co_return;
  }
  control::OrderResult result;
  result.kind = order.kind;
  result.machine = order.machine;
  result.group_id = order.group_id;
  result.epoch = order.epoch;
  if (opened.stream != nullptr) {
    const int status = opened.stream->head().status;
    result.verdict = status == 200   ? control::OrderVerdict::kDone
                     : status == 409 ? control::OrderVerdict::kFenced
                     : status == 410 ? control::OrderVerdict::kWrongIncarnation
                                     : control::OrderVerdict::kUnreachable;
  }
  stats_.order_failures += result.verdict == control::OrderVerdict::kDone ? 0 : 1;
  controller_->on_order_result(result);
}

// ------------------------------------------------------------ pending results

void NodeRuntime::complete_admissions() {
  auto& admission_controller = controller_->entry().admission();
  const auto complete_pending = [this](uint64_t ticket, AdmissionResult verdict) {
    if (const auto pending_result = pending_admissions_.find(ticket); pending_result != pending_admissions_.end()) {
      pending_result->second->result = verdict;
      pending_result->second->timer.cancel();
    }
  };
  for (const auto ticket : admission_controller.take_expired(now())) {
    complete_pending(ticket, AdmissionResult::kDeadlineExceeded);
  }
  for (const auto ticket : admission_controller.take_admitted(now())) {
    complete_pending(ticket, AdmissionResult::kAdmitted);
  }
}

asio::awaitable<NodeRuntime::AdmissionResult> NodeRuntime::admit(std::string tenant, int priority, TimePoint deadline,
                                                                 const std::function<bool()>& cancelled) {
  auto& admission_controller = controller_->entry().admission();
  const uint64_t ticket = next_admission_ticket_++;
  switch (admission_controller.request_admission(now(), ticket, tenant, priority, deadline)) {
    case admission::AdmissionVerdict::kAdmitted:
      co_return AdmissionResult::kAdmitted;
    case admission::AdmissionVerdict::kRefusedQueueFull:
      co_return AdmissionResult::kQueueFull;
    case admission::AdmissionVerdict::kRefusedDeadline:
      co_return AdmissionResult::kDeadlineExceeded;
    case admission::AdmissionVerdict::kQueued:
      break;
  }
  const auto alive = alive_;
  auto pending_result = std::make_shared<PendingResult<AdmissionResult>>(executor_);
  pending_admissions_[ticket] = pending_result;
  while (*alive && !pending_result->result && !cancelled()) {
    pending_result->timer.expires_after(std::chrono::milliseconds(100));
    co_await pending_result->timer.async_wait(kAwaitWithError);
  }
  if (!*alive) {
    co_return AdmissionResult::kCallerDisconnected;
  }
  pending_admissions_.erase(ticket);
  if (!pending_result->result) {
    admission_controller.cancel(ticket);
    co_return AdmissionResult::kCallerDisconnected;
  }
  co_return *pending_result->result;
}

void NodeRuntime::release_admission(const std::string& tenant, Duration service_time) {
  controller_->entry().admission().finish_request(tenant, service_time);
  complete_admissions();
}

asio::awaitable<ClaimOutcome> NodeRuntime::claim(wire::Claim claim, TimePoint deadline) {
  const auto alive = alive_;
  auto pending_result = std::make_shared<PendingResult<ClaimOutcome>>(executor_);
  const int64_t id = controller_->submit_claim(now(), std::move(claim), deadline);
  pending_claims_[id] = pending_result;
  process_outputs();
  while (*alive && !pending_result->result) {
    pending_result->timer.expires_after(std::chrono::seconds(1));
    co_await pending_result->timer.async_wait(kAwaitWithError);
  }
  if (!*alive) {
    co_return ClaimOutcome{};
  }
  pending_claims_.erase(id);
  ClaimOutcome outcome = std::move(*pending_result->result);
  outcome.request_id = id;
  co_return outcome;
}

void NodeRuntime::record_claim_outcome(wire::ClaimResolution resolution) {
  controller_->resolve_claim(now(), std::move(resolution));
  process_outputs();
}

asio::awaitable<wire::OperatorReply> NodeRuntime::operator_request(wire::OperatorRequest request,
                                                                   std::chrono::milliseconds timeout) {
  const auto alive = alive_;
  auto pending_result = std::make_shared<PendingResult<wire::OperatorReply>>(executor_);
  const int64_t id = controller_->submit_operator_request(now(), std::move(request), now() + timeout);
  pending_operator_requests_[id] = pending_result;
  process_outputs();
  while (*alive && !pending_result->result) {
    pending_result->timer.expires_after(std::chrono::seconds(1));
    co_await pending_result->timer.async_wait(kAwaitWithError);
  }
  if (!*alive) {
    co_return wire::OperatorReply();
  }
  pending_operator_requests_.erase(id);
  co_return std::move(*pending_result->result);
}

}  // namespace larchlever::node
