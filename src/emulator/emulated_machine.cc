#include "emulator/emulated_machine.h"

#include "core/base/json_fields.h"
#include "emulator/plain_service.h"
#include "emulator/prompt_text.h"

namespace larchlever::emulator {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kEngineTickInterval = std::chrono::milliseconds(2);
constexpr auto kPausePollInterval = std::chrono::milliseconds(20);
constexpr auto kWeightFetchTimeout = std::chrono::seconds(30);
constexpr auto kWeightRetryInterval = std::chrono::milliseconds(300);
constexpr int kDefaultOutputTokens = 32;
constexpr int kMaxOutputTokens = 4096;

TimePoint engine_now() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(now));
}

int64_t new_incarnation() {
  static int64_t last_incarnation = 0;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  last_incarnation = std::max(last_incarnation + 1, std::chrono::duration_cast<std::chrono::microseconds>(now).count());
  return last_incarnation;
}

net::HttpResponse json_response(int status, const json::object& body) {
  net::HttpResponse response;
  response.status = status;
  response.headers.add("Content-Type", "application/json");
  response.body = json::serialize(body);
  return response;
}

/// Rejects a request that the engine did not start, so the entry may retry it elsewhere.
net::HttpResponse refusal_response(int status, const char* reason) {
  auto response = json_response(status, {{"error", reason}});
  response.headers.add("X-Engine-Started", "no");
  return response;
}

int64_t parse_header_number(const net::HttpRequest& request, const char* name, int64_t fallback) {
  const auto value = std::string(request.headers.find(name));
  return value.empty() ? fallback : std::atoll(value.c_str());
}

/// Returns the whole input of the model as one text.
std::string extract_prompt(const json::object& body) {
  std::string prompt = string_field(body, "prompt");
  if (const auto* messages = body.if_contains("messages"); messages != nullptr && messages->is_array()) {
    for (const auto& message : messages->as_array()) {
      if (message.is_object()) {
        prompt += string_field(message.as_object(), "role") + ":" + string_field(message.as_object(), "content") + "\n";
      }
    }
  }
  return prompt;
}

}  // namespace

EmulatedMachine::EmulatedMachine(asio::any_io_executor executor, MachineOptions options, ExecutionLog& log,
                                 FindMachine find_machine)
    : executor_(executor),
      options_(std::move(options)),
      log_(log),
      find_machine_(std::move(find_machine)),
      client_(executor),
      engine_(options_.engine) {}

EmulatedMachine::~EmulatedMachine() {
  *lifetime_token_ = false;
  fail_all_streams();
}

bool EmulatedMachine::start(std::string& error) {
  server_ = std::make_unique<net::HttpServer>(executor_, net::HttpServerOptions(), *this);
  const auto port = server_->listen(options_.address, options_.port, error);
  if (!port) {
    return false;
  }
  options_.port = *port;
  incarnation_ = new_incarnation();
  group_id_ = 0;
  epoch_ = 0;
  newest_epoch_ = 0;
  newest_term_ = 0;
  loaded_ = false;
  weights_.clear();
  members_.clear();
  engine_.clear();
  load_samples_.clear();
  condition_ = MachineCondition::kAlive;
  asio::co_spawn(executor_, run_engine(), asio::detached);
  return true;
}

void EmulatedMachine::die() {
  condition_ = MachineCondition::kDead;
  incarnation_ = 0;
  fail_all_streams();
  if (server_) {
    server_->close_all();
  }
}

void EmulatedMachine::pause() {
  if (condition_ == MachineCondition::kAlive) {
    condition_ = MachineCondition::kPaused;
  }
}

void EmulatedMachine::resume() {
  if (condition_ == MachineCondition::kPaused) {
    condition_ = MachineCondition::kAlive;
  }
}

void EmulatedMachine::fail_all_streams() {
  for (auto& [id, stream] : streams_) {
    stream->failed = true;
    stream->wake_timer.cancel();
  }
  streams_.clear();
}

bool EmulatedMachine::all_members_ready() const {
  return std::all_of(members_.begin(), members_.end(), [this](const auto& id) {
    const auto* member = find_machine_(id);
    return member != nullptr && member->condition() == MachineCondition::kAlive && member->loaded() &&
           member->epoch() == epoch_;
  });
}

bool EmulatedMachine::any_member_lost() const {
  return std::any_of(members_.begin(), members_.end(), [this](const auto& id) {
    const auto* member = find_machine_(id);
    return member == nullptr || member->condition() == MachineCondition::kDead || member->epoch() != epoch_;
  });
}

asio::awaitable<void> EmulatedMachine::wait_while_paused() {
  while (condition_ == MachineCondition::kPaused) {
    asio::steady_timer timer(executor_, kPausePollInterval);
    co_await timer.async_wait(kAwait);
  }
}

void EmulatedMachine::sample_load() {
  const auto now = std::chrono::steady_clock::now();
  load_samples_.emplace_back(now, static_cast<int>(engine_.running_count() + engine_.waiting_count()));
  while (load_samples_.size() > 1 && load_samples_[1].first + options_.load_report_lag <= now) {
    load_samples_.pop_front();
  }
}

asio::awaitable<void> EmulatedMachine::run_engine() {
  const auto lifetime_token = lifetime_token_;
  const int64_t incarnation = incarnation_;
  asio::steady_timer timer(executor_);
  while (*lifetime_token && incarnation_ == incarnation && condition_ != MachineCondition::kDead) {
    sample_load();
    if (!streams_.empty() && any_member_lost()) {
      fail_all_streams();
      engine_.clear();
    }
    if (condition_ == MachineCondition::kAlive && rank_ == 0 && all_members_ready()) {
      for (const auto& produced : engine_.advance(engine_now())) {
        const auto stream = streams_.find(produced.request);
        if (stream != streams_.end()) {
          stream->second->tokens.push_back(produced);
          stream->second->wake_timer.cancel();
        }
      }
    }
    timer.expires_after(kEngineTickInterval);
    co_await timer.async_wait(kAwait);
  }
}

asio::awaitable<void> EmulatedMachine::handle(net::HttpExchange& exchange) {
  co_await wait_while_paused();
  const auto path = exchange.request().path();
  if (condition_ == MachineCondition::kDead) {
    co_return;
  }
  if (path == "/engine/state") {
    co_await handle_state_request(exchange);
  } else if (path == "/engine/orders") {
    co_await handle_order(exchange);
  } else if (path == "/engine/cache-events") {
    co_await handle_cache_events_request(exchange);
  } else if (path == "/engine/kv/export" || path == "/engine/kv/import") {
    co_await handle_kv_transfer(exchange, path == "/engine/kv/import");
  } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
    co_await handle_completion_request(exchange);
  } else {
    co_await exchange.respond(refusal_response(404, "no such path"));
  }
}

asio::awaitable<void> EmulatedMachine::handle_state_request(net::HttpExchange& exchange) {
  json::object state;
  state["machine"] = options_.id;
  state["incarnation"] = incarnation_;
  state["zone"] = options_.zone;
  state["domain"] = options_.domain;
  state["kind"] = options_.kind;
  state["accelerators"] = options_.accelerators;
  state["group"] = group_id_;
  state["epoch"] = epoch_;
  state["rank"] = rank_;
  state["loaded"] = loaded_;
  state["weights"] = weights_;
  state["load"] = load_samples_.empty() ? 0 : load_samples_.front().second;
  co_await exchange.respond(json_response(200, state));
}

asio::awaitable<void> EmulatedMachine::handle_order(net::HttpExchange& exchange) {
  const json::object order = parse_json_object(exchange.request().body);
  const int64_t epoch = integer_field(order, "epoch", 0);
  const int64_t term = integer_field(order, "term", 0);
  const int64_t expected_incarnation = integer_field(order, "incarnation", 0);
  if (expected_incarnation != 0 && expected_incarnation != incarnation_) {
    json::object answer;
    answer["error"] = "another incarnation";
    answer["incarnation"] = incarnation_;
    co_await exchange.respond(json_response(410, answer));
    co_return;
  }
  const bool is_stale = epoch < newest_epoch_ || (epoch == newest_epoch_ && term < newest_term_);
  if (options_.kind == "fenced" && is_stale) {
    json::object answer;
    answer["error"] = "fenced";
    answer["epoch"] = newest_epoch_;
    co_await exchange.respond(json_response(409, answer));
    co_return;
  }
  newest_epoch_ = epoch;
  newest_term_ = term;
  const std::string kind = string_field(order, "kind");
  if (kind == "release") {
    if (epoch_ == epoch || options_.kind != "fenced") {
      fail_all_streams();
      engine_.clear();
      group_id_ = 0;
      epoch_ = 0;
      loaded_ = false;
      members_.clear();
    }
  } else if (kind == "load") {
    const bool is_repeated = epoch_ == epoch && group_id_ == integer_field(order, "group", 0);
    if (!is_repeated) {
      fail_all_streams();
      engine_.clear();
      group_id_ = integer_field(order, "group", 0);
      epoch_ = epoch;
      rank_ = static_cast<int>(integer_field(order, "rank", 0));
      target_weights_ = string_field(order, "model") + "@" + string_field(order, "version");
      members_.clear();
      if (const auto* members = order.if_contains("members"); members != nullptr && members->is_array()) {
        for (const auto& member : members->as_array()) {
          members_.emplace_back(member.as_string());
        }
      }
      loaded_ = weights_ == target_weights_;
      if (!loaded_) {
        asio::co_spawn(executor_, load_weights(incarnation_, epoch_), asio::detached);
      }
    }
  } else if (kind == "role") {
    rank_ = static_cast<int>(integer_field(order, "rank", rank_));
  } else {
    co_await exchange.respond(refusal_response(400, "unknown kind of order"));
    co_return;
  }
  json::object answer;
  answer["done"] = true;
  answer["epoch"] = epoch_;
  co_await exchange.respond(json_response(200, answer));
}

asio::awaitable<void> EmulatedMachine::load_weights(int64_t incarnation, int64_t epoch) {
  const auto lifetime_token = lifetime_token_;
  const auto is_current = [&] {
    return *lifetime_token && condition_ != MachineCondition::kDead && incarnation_ == incarnation && epoch_ == epoch;
  };
  while (is_current()) {
    bool received = options_.weight_store.empty();
    if (!received) {
      std::string path = target_weights_;
      std::replace(path.begin(), path.end(), '@', '/');
      net::HttpRequest request;
      request.target = "/weights/" + path;
      const auto result = co_await client_.fetch(options_.weight_store, request, kWeightFetchTimeout);
      if (!*lifetime_token) {
        co_return;
      }
      received = result.response && result.response->status == 200;
    }
    co_await wait_while_paused();
    if (received && is_current()) {
      weights_ = target_weights_;
      loaded_ = true;
      co_return;
    }
    asio::steady_timer timer(executor_, kWeightRetryInterval);
    co_await timer.async_wait(kAwait);
  }
}

asio::awaitable<void> EmulatedMachine::handle_cache_events_request(net::HttpExchange& exchange) {
  const std::string since = query_parameter(exchange.request().target, "since");
  asio::steady_timer timer(executor_, options_.cache_event_lag);
  co_await timer.async_wait(kAwait);
  int64_t oldest_sequence = 0;
  json::array events;
  for (const auto& event : engine_.cache_events(std::atoll(since.c_str()), oldest_sequence)) {
    json::object item;
    item["sequence"] = event.sequence;
    item["added"] = event.added;
    item["block"] = event.block;
    events.push_back(std::move(item));
  }
  json::object answer;
  answer["oldest"] = oldest_sequence;
  answer["events"] = std::move(events);
  co_await exchange.respond(json_response(200, answer));
}

asio::awaitable<void> EmulatedMachine::handle_kv_transfer(net::HttpExchange& exchange, bool is_import) {
  json::array blocks;
  if (is_import) {
    const json::object body = parse_json_object(exchange.request().body);
    std::vector<uint64_t> received;
    if (const auto* list = body.if_contains("blocks"); list != nullptr && list->is_array()) {
      for (const auto& block : list->as_array()) {
        received.push_back(block.is_uint64() ? block.as_uint64() : static_cast<uint64_t>(block.to_number<int64_t>()));
      }
    }
    engine_.import_blocks(received);
  }
  for (const uint64_t block : engine_.cached_blocks()) {
    blocks.emplace_back(block);
  }
  json::object answer;
  answer["blocks"] = std::move(blocks);
  co_await exchange.respond(json_response(200, answer));
}

asio::awaitable<void> EmulatedMachine::handle_completion_request(net::HttpExchange& exchange) {
  const auto& request = exchange.request();
  const bool in_service = group_id_ != 0 && loaded_ && rank_ == 0 && all_members_ready();
  if (!in_service) {
    co_await exchange.respond(refusal_response(503, "no replica here"));
    co_return;
  }
  const bool is_other_epoch = parse_header_number(request, "x-group", group_id_) != group_id_ ||
                              parse_header_number(request, "x-epoch", epoch_) != epoch_;
  if (options_.kind == "fenced" && is_other_epoch) {
    co_await exchange.respond(refusal_response(409, "another group or epoch"));
    co_return;
  }
  const json::object body = parse_json_object(request.body);
  const std::string prompt = extract_prompt(body);
  const std::string request_id = std::string(request.headers.find("x-request-id"));
  EngineRequest engine_request;
  engine_request.id = next_stream_++;
  engine_request.priority = static_cast<int>(parse_header_number(request, "x-priority", 5));
  engine_request.prompt_tokens = estimate_token_count(prompt);
  engine_request.output_tokens = static_cast<int>(
      std::clamp<int64_t>(integer_field(body, "max_tokens", kDefaultOutputTokens), 1, kMaxOutputTokens));
  engine_request.first_output_offset = static_cast<int>(parse_header_number(request, "x-resume-from", 0));
  engine_request.prefix_blocks = hash_prefix_blocks(prompt, options_.engine.tokens_per_block);

  Execution execution;
  execution.request_id = request_id;
  execution.key = std::string(request.headers.find("idempotency-key"));
  execution.machine = options_.id;
  execution.zone = options_.zone;
  execution.tenant = std::string(request.headers.find("x-tenant"));
  execution.tag = string_field(body, "user");
  const size_t position = log_.record_start(std::move(execution));

  auto stream = std::make_shared<ResponseStream>(executor_);
  const uint64_t id = engine_request.id;
  streams_[id] = stream;
  exchange.notify_on_disconnect([this, id, stream, lifetime_token = lifetime_token_] {
    stream->failed = true;
    stream->wake_timer.cancel();
    if (*lifetime_token) {
      engine_.cancel(id);
      streams_.erase(id);
    }
  });
  engine_.submit(engine_now(), std::move(engine_request));

  net::HttpResponse response_head;
  response_head.headers.add("Content-Type", "text/event-stream");
  response_head.headers.add("X-Request-Id", request_id);
  bool open = co_await exchange.begin_stream(response_head);
  bool is_last = false;
  while (open && !is_last && !stream->failed) {
    if (stream->tokens.empty()) {
      stream->wake_timer.expires_after(std::chrono::seconds(1));
      co_await stream->wake_timer.async_wait(kAwait);
      continue;
    }
    co_await wait_while_paused();
    std::string events;
    while (!stream->tokens.empty() && !is_last) {
      const OutputToken token = stream->tokens.front();
      stream->tokens.pop_front();
      is_last = token.is_last;
      log_.record_token(position);
      json::object delta;
      delta["content"] = token_text(prompt, token.offset);
      json::object choice;
      choice["index"] = 0;
      choice["delta"] = delta;
      json::object event;
      event["id"] = request_id;
      event["object"] = "chat.completion.chunk";
      event["choices"] = json::array{choice};
      events += "id: " + request_id + ":" + std::to_string(token.offset) + "\ndata: " + json::serialize(event) + "\n\n";
    }
    if (is_last) {
      events += "data: [DONE]\n\n";
      log_.record_completion(position);
    }
    open = co_await exchange.write_piece(events);
  }
  streams_.erase(id);
  if (open && is_last) {
    co_await exchange.end_stream();
  } else {
    engine_.cancel(id);
  }
}

}  // namespace larchlever::emulator
