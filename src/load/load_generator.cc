#include "load/load_generator.h"

#include <algorithm>
#include <boost/json.hpp>

#include "core/requests/stream_verifier.h"
#include "emulator/prompt_text.h"

namespace larchlever::load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
using Clock = std::chrono::steady_clock;

int64_t wall_clock_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns the outcome of an attempt. Without an answer the request may have run, unless nothing was sent.
requests::Outcome attempt_outcome(const AttemptRecord& record) {
  if (record.status == 0) {
    return record.was_sent ? requests::Outcome::kUnknown : requests::Outcome::kNotRun;
  }
  return record.outcome.empty() ? requests::Outcome::kUnknown : requests::parse_outcome(record.outcome);
}

double elapsed_ms(Clock::time_point since) {
  return std::chrono::duration<double, std::milli>(Clock::now() - since).count();
}

std::string string_at_pointer(const json::value& value, const char* pointer) {
  boost::system::error_code error;
  const auto* content = value.find_pointer(pointer, error);
  return content != nullptr && content->is_string() ? std::string(content->as_string()) : std::string();
}

std::string parse_event_stream_text(std::string_view events, bool& terminated) {
  std::string text;
  terminated = false;
  while (!events.empty()) {
    const size_t end = events.find("\n\n");
    if (end == std::string_view::npos) {
      break;
    }
    const auto data = requests::event_data(events.substr(0, end));
    terminated = terminated || data == "[DONE]";
    boost::system::error_code error;
    const auto value = json::parse(json::string_view(data.data(), data.size()), error);
    if (!error) {
      text += string_at_pointer(value, "/choices/0/delta/content");
    }
    events = events.substr(end + 2);
  }
  return text;
}

}  // namespace

double percentile(std::vector<double> samples, double percent) {
  if (samples.empty()) {
    return 0;
  }
  const auto position =
      std::min(samples.size() - 1, static_cast<size_t>(percent / 100.0 * static_cast<double>(samples.size())));
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(position), samples.end());
  return samples[position];
}

LoadGenerator::LoadGenerator(asio::any_io_executor executor, LoadOptions options)
    : executor_(executor), options_(std::move(options)), client_(executor) {}

int LoadGenerator::GeneratedRequest::random_number(int minimum, int maximum) {
  return std::uniform_int_distribution<int>(minimum, maximum)(random);
}

void LoadGenerator::fill_model_request(GeneratedRequest& generated) {
  const auto& tenant =
      options_.tenants[static_cast<size_t>(generated.random_number(0, static_cast<int>(options_.tenants.size()) - 1))];
  const int tokens = generated.random_number(1, options_.max_output_tokens);
  std::string prompt = "shared text " + std::to_string(generated.random_number(1, options_.prompt_count)) + " ";
  prompt.resize(options_.prompt_bytes, '.');
  prompt += " question " + generated.tag;
  generated.stream = generated.random_number(0, 1) == 1;
  json::object message;
  message["role"] = "user";
  message["content"] = prompt;
  json::object body;
  body["model"] = options_.model;
  body["max_tokens"] = tokens;
  body["stream"] = generated.stream;
  body["user"] = generated.tag;
  body["messages"] = json::array{message};
  generated.request.method = "POST";
  generated.request.target = "/v1/chat/completions";
  generated.request.headers.add("Content-Type", "application/json");
  generated.request.headers.add("Larchlever-Tenant", tenant);
  generated.request.body = json::serialize(body);
  for (int offset = 0; offset < tokens; ++offset) {
    generated.expected += emulator::token_text("user:" + prompt + "\n", offset);
  }
}

LoadGenerator::GeneratedRequest LoadGenerator::make_next_request() {
  GeneratedRequest generated;
  generated.tag = "t" + std::to_string(options_.seed) + "-" + std::to_string(++started_requests_);
  std::seed_seq seeds{options_.seed, started_requests_};
  generated.random.seed(seeds);
  const int roll = generated.random_number(0, 99);
  const bool is_service_request = !options_.service_path.empty() && roll < options_.service_percent;
  if (is_service_request) {
    const bool is_post = generated.random_number(0, 1) == 1;
    generated.kind = is_post ? Kind::kServicePost : Kind::kServiceGet;
    generated.request.method = is_post ? "POST" : "GET";
    generated.request.target = options_.service_path + "/" + generated.tag;
    if (is_post) {
      generated.request.body = generated.tag;
      generated.key = generated.tag;
    }
    generated.expected = generated.request.target;
  } else if (roll < options_.service_percent + options_.keyed_percent) {
    generated.kind = Kind::kKeyed;
    generated.key = generated.tag;
    fill_model_request(generated);
    generated.request.headers.add("Larchlever-Repeat", "unsafe");
  } else if (roll < options_.service_percent + options_.keyed_percent + options_.safe_percent) {
    generated.kind = Kind::kSafe;
    fill_model_request(generated);
    generated.request.headers.add("Larchlever-Repeat", "safe");
  } else {
    generated.kind = Kind::kUnsafe;
    fill_model_request(generated);
    generated.request.headers.add("Larchlever-Repeat", "unsafe");
  }
  if (!generated.key.empty()) {
    generated.request.headers.add("Idempotency-Key", generated.key);
  }
  return generated;
}

asio::awaitable<AttemptRecord> LoadGenerator::send_attempt(GeneratedRequest& generated) {
  AttemptRecord record;
  record.tag = generated.tag;
  record.key = generated.key;
  record.is_repeatable = generated.kind == Kind::kSafe || generated.kind == Kind::kServiceGet;
  record.node =
      options_.nodes[static_cast<size_t>(generated.random_number(0, static_cast<int>(options_.nodes.size()) - 1))];
  record.expected = generated.expected;
  record.sent_ms = wall_clock_ms();
  const auto started_at = Clock::now();
  net::OpenOptions open;
  open.timeout = options_.timeout;
  open.require_new_connection = generated.random_number(0, 3) == 0;
  auto opened = co_await client_.open(record.node, generated.request, open);
  record.was_sent = opened.state != net::SendState::kNotSent;
  if (opened.stream != nullptr) {
    record.status = opened.stream->head().status;
    record.outcome = std::string(opened.stream->head().headers.find("larchlever-outcome"));
    const bool is_event_stream = opened.stream->head().headers.find("content-type") == "text/event-stream";
    std::string body;
    auto last_chunk_at = started_at;
    while (true) {
      std::string chunk = co_await opened.stream->read_some(options_.timeout);
      if (chunk.empty()) {
        break;
      }
      if (is_event_stream && body.empty()) {
        report_.first_token_ms.push_back(elapsed_ms(started_at));
      } else if (is_event_stream) {
        report_.between_tokens_ms.push_back(elapsed_ms(last_chunk_at));
      }
      last_chunk_at = Clock::now();
      body += chunk;
    }
    record.is_complete = opened.stream->complete();
    bool terminated = false;
    boost::system::error_code error;
    if (is_event_stream) {
      record.answer = parse_event_stream_text(body, terminated);
      record.is_complete = record.is_complete && terminated;
    } else if (const auto value = json::parse(body, error); !error) {
      const bool is_service_reply = generated.kind == Kind::kServiceGet || generated.kind == Kind::kServicePost;
      record.answer = string_at_pointer(value, is_service_reply ? "/target" : "/choices/0/message/content");
    }
  }
  record.done_ms = wall_clock_ms();
  co_return record;
}

asio::awaitable<void> LoadGenerator::run_request(GeneratedRequest generated) {
  const auto started_at = Clock::now();
  ++report_.requests;
  for (int attempt = 0; attempt < options_.max_attempts; ++attempt) {
    ++report_.attempts;
    AttemptRecord record = co_await send_attempt(generated);
    history_.push_back(record);
    if (record.status >= 200 && record.status < 300 && record.is_complete) {
      ++report_.answered;
      report_.latency_ms.push_back(elapsed_ms(started_at));
      co_return;
    }
    report_.not_run += record.outcome == "not-run" ? 1 : 0;
    report_.unknown += record.outcome == "unknown" ? 1 : 0;
    report_.refused_after_lost_answer +=
        generated.earlier_outcome != requests::Outcome::kNotRun && record.status >= 400 ? 1 : 0;
    generated.earlier_outcome = requests::combine_outcomes(generated.earlier_outcome, attempt_outcome(record));
    // For a request with a key the node must find the earlier outcome itself.
    if (generated.key.empty() && generated.earlier_outcome != requests::Outcome::kNotRun) {
      generated.request.headers.set("Larchlever-Earlier-Outcome",
                                    std::string(requests::to_string(generated.earlier_outcome)));
    }
    // A request that is not repeatable and has no key may be retried only if it is known not to have run.
    const bool may_repeat = record.is_repeatable || !generated.key.empty() || record.outcome == "not-run";
    if (!may_repeat || stop_requested_) {
      break;
    }
    asio::steady_timer timer(executor_, options_.retry_delay);
    co_await timer.async_wait(kAwait);
  }
  ++report_.gave_up;
}

asio::awaitable<void> LoadGenerator::run_caller() {
  while (started_requests_ < options_.request_count && !stop_requested_) {
    GeneratedRequest generated = make_next_request();
    co_await run_request(std::move(generated));
  }
  --running_callers_;
}

asio::awaitable<void> LoadGenerator::run() {
  const auto started_at = Clock::now();
  for (int number = 0; number < options_.caller_count; ++number) {
    ++running_callers_;
    asio::co_spawn(executor_, run_caller(), asio::detached);
  }
  asio::steady_timer timer(executor_);
  while (running_callers_ > 0) {
    timer.expires_after(std::chrono::milliseconds(10));
    co_await timer.async_wait(kAwait);
  }
  report_.seconds = std::chrono::duration<double>(Clock::now() - started_at).count();
}

asio::awaitable<std::vector<ExecutionRecord>> fetch_executions(net::HttpClient& client,
                                                               const std::string& membership_endpoint,
                                                               std::string& error) {
  std::vector<ExecutionRecord> executions;
  net::HttpRequest request;
  request.target = "/emulator/log";
  const auto result = co_await client.fetch(membership_endpoint, request, std::chrono::seconds(30));
  boost::system::error_code code;
  const auto value = result.response ? json::parse(result.response->body, code) : json::value();
  if (!result.response || code || !value.is_object()) {
    error = "cannot read the execution log from " + membership_endpoint + ": " + result.error;
    co_return executions;
  }
  for (const auto& item : value.as_object().at("executions").as_array()) {
    const auto& object = item.as_object();
    ExecutionRecord record;
    record.request_id = std::string(object.at("request").as_string());
    record.tag = std::string(object.at("tag").as_string());
    record.key = std::string(object.at("key").as_string());
    record.machine = std::string(object.at("machine").as_string());
    record.zone = std::string(object.at("zone").as_string());
    record.tenant = std::string(object.at("tenant").as_string());
    record.started_ms = object.at("started_ms").as_int64();
    record.completed = object.at("completed").as_bool();
    executions.push_back(std::move(record));
  }
  co_return executions;
}

}  // namespace larchlever::load
