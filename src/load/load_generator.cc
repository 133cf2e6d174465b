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

int64_t wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// What an attempt tells of whether its request ran. One without an answer may have run, unless nothing was sent.
requests::Outcome outcome_of(const HistoryRecord& record) {
  if (record.status == 0) {
    return record.was_sent ? requests::Outcome::kUnknown : requests::Outcome::kNotRun;
  }
  return record.outcome.empty() ? requests::Outcome::kUnknown : requests::parse_outcome(record.outcome);
}

double elapsed_ms(Clock::time_point since) {
  return std::chrono::duration<double, std::milli>(Clock::now() - since).count();
}

std::string content_of(const json::value& value, const char* pointer) {
  boost::system::error_code error;
  const auto* content = value.find_pointer(pointer, error);
  return content != nullptr && content->is_string() ? std::string(content->as_string()) : std::string();
}

std::string text_of_stream(std::string_view events, bool& terminated) {
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
      text += content_of(value, "/choices/0/delta/content");
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

int LoadGenerator::Work::random_number(int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(random);
}

void LoadGenerator::fill_model_request(Work& work) {
  const auto& tenant =
      options_.tenants[static_cast<size_t>(work.random_number(0, static_cast<int>(options_.tenants.size()) - 1))];
  const int tokens = work.random_number(1, options_.most_tokens);
  std::string prompt = "shared text " + std::to_string(work.random_number(1, options_.prompts)) + " ";
  prompt.resize(options_.prompt_bytes, '.');
  prompt += " question " + work.tag;
  work.stream = work.random_number(0, 1) == 1;
  json::object message;
  message["role"] = "user";
  message["content"] = prompt;
  json::object body;
  body["model"] = options_.model;
  body["max_tokens"] = tokens;
  body["stream"] = work.stream;
  body["user"] = work.tag;
  body["messages"] = json::array{message};
  work.request.method = "POST";
  work.request.target = "/v1/chat/completions";
  work.request.headers.add("Content-Type", "application/json");
  work.request.headers.add("Larchlever-Tenant", tenant);
  work.request.body = json::serialize(body);
  for (int offset = 0; offset < tokens; ++offset) {
    work.expected += emulator::token_text("user:" + prompt + "\n", offset);
  }
}

LoadGenerator::Work LoadGenerator::next_work() {
  Work work;
  work.tag = "t" + std::to_string(options_.seed) + "-" + std::to_string(++started_);
  std::seed_seq seeds{options_.seed, started_};
  work.random.seed(seeds);
  const int roll = work.random_number(0, 99);
  const bool service = !options_.service_path.empty() && roll < options_.service_percent;
  if (service) {
    const bool post = work.random_number(0, 1) == 1;
    work.kind = post ? Kind::kServicePost : Kind::kServiceGet;
    work.request.method = post ? "POST" : "GET";
    work.request.target = options_.service_path + "/" + work.tag;
    if (post) {
      work.request.body = work.tag;
      work.key = work.tag;
    }
    work.expected = work.request.target;
  } else if (roll < options_.service_percent + options_.keyed_percent) {
    work.kind = Kind::kKeyed;
    work.key = work.tag;
    fill_model_request(work);
    work.request.headers.add("Larchlever-Repeat", "unsafe");
  } else if (roll < options_.service_percent + options_.keyed_percent + options_.safe_percent) {
    work.kind = Kind::kSafe;
    fill_model_request(work);
    work.request.headers.add("Larchlever-Repeat", "safe");
  } else {
    work.kind = Kind::kUnsafe;
    fill_model_request(work);
    work.request.headers.add("Larchlever-Repeat", "unsafe");
  }
  if (!work.key.empty()) {
    work.request.headers.add("Idempotency-Key", work.key);
  }
  return work;
}

asio::awaitable<HistoryRecord> LoadGenerator::send(Work& work) {
  HistoryRecord record;
  record.tag = work.tag;
  record.key = work.key;
  record.safe = work.kind == Kind::kSafe || work.kind == Kind::kServiceGet;
  record.node = options_.nodes[static_cast<size_t>(work.random_number(0, static_cast<int>(options_.nodes.size()) - 1))];
  record.expected = work.expected;
  record.sent_ms = wall_ms();
  const auto began = Clock::now();
  net::OpenOptions open;
  open.timeout = options_.timeout;
  open.require_new_connection = work.random_number(0, 3) == 0;
  auto opened = co_await client_.open(record.node, work.request, open);
  record.was_sent = opened.state != net::SendState::kNotSent;
  if (opened.stream != nullptr) {
    record.status = opened.stream->head().status;
    record.outcome = std::string(opened.stream->head().headers.find("larchlever-outcome"));
    const bool events = opened.stream->head().headers.find("content-type") == "text/event-stream";
    std::string body;
    auto last = began;
    while (true) {
      std::string piece = co_await opened.stream->read_some(options_.timeout);
      if (piece.empty()) {
        break;
      }
      if (events && body.empty()) {
        report_.first_token_ms.push_back(elapsed_ms(began));
      } else if (events) {
        report_.between_tokens_ms.push_back(elapsed_ms(last));
      }
      last = Clock::now();
      body += piece;
    }
    record.whole = opened.stream->complete();
    bool terminated = false;
    boost::system::error_code error;
    if (events) {
      record.answer = text_of_stream(body, terminated);
      record.whole = record.whole && terminated;
    } else if (const auto value = json::parse(body, error); !error) {
      const bool plain = work.kind == Kind::kServiceGet || work.kind == Kind::kServicePost;
      record.answer = content_of(value, plain ? "/target" : "/choices/0/message/content");
    }
  }
  record.done_ms = wall_ms();
  co_return record;
}

asio::awaitable<void> LoadGenerator::perform(Work work) {
  const auto began = Clock::now();
  ++report_.requests;
  for (int sending = 0; sending < options_.most_sendings; ++sending) {
    ++report_.sendings;
    HistoryRecord record = co_await send(work);
    history_.push_back(record);
    if (record.status >= 200 && record.status < 300 && record.whole) {
      ++report_.answered;
      report_.latency_ms.push_back(elapsed_ms(began));
      co_return;
    }
    report_.not_run += record.outcome == "not-run" ? 1 : 0;
    report_.unknown += record.outcome == "unknown" ? 1 : 0;
    report_.refused_after_loss += work.earlier_outcome != requests::Outcome::kNotRun && record.status >= 400 ? 1 : 0;
    work.earlier_outcome = requests::combined(work.earlier_outcome, outcome_of(record));
    // With a key the node must know by itself.
    if (work.key.empty() && work.earlier_outcome != requests::Outcome::kNotRun) {
      work.request.headers.set("Larchlever-Earlier-Outcome", std::string(requests::to_string(work.earlier_outcome)));
    }
    // Unsafe without a key: only a caller who was told that nothing ran may try again.
    const bool may_repeat = record.safe || !work.key.empty() || record.outcome == "not-run";
    if (!may_repeat || stopped_) {
      break;
    }
    asio::steady_timer timer(executor_, options_.resend_pause);
    co_await timer.async_wait(kAwait);
  }
  ++report_.lost;
}

asio::awaitable<void> LoadGenerator::caller() {
  while (started_ < options_.requests && !stopped_) {
    Work work = next_work();
    co_await perform(std::move(work));
  }
  --running_;
}

asio::awaitable<void> LoadGenerator::run() {
  const auto began = Clock::now();
  for (int number = 0; number < options_.callers; ++number) {
    ++running_;
    asio::co_spawn(executor_, caller(), asio::detached);
  }
  asio::steady_timer timer(executor_);
  while (running_ > 0) {
    timer.expires_after(std::chrono::milliseconds(10));
    co_await timer.async_wait(kAwait);
  }
  report_.seconds = std::chrono::duration<double>(Clock::now() - began).count();
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
