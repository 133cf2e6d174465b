#include "mixed_callers.h"

#include <atomic>
#include <boost/asio.hpp>
#include <thread>

#include "core/base/http_status.h"
#include "net/http_client.h"

namespace larchlever::integration {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

/// Callers wait for this much longer than the deadline in their request.
constexpr auto kDeadlineMargin = std::chrono::milliseconds(1000);

net::HttpRequest make_request(RequestKind kind, const std::string& id, std::chrono::milliseconds deadline) {
  net::HttpRequest request;
  request.headers.add("Larchlever-Request-Id", id);
  request.headers.add("Larchlever-Deadline-Ms", std::to_string(deadline.count()));
  request.target = "/forms/1";
  switch (kind) {
    case RequestKind::kRepeatable:
      request.headers.add("Host", "forms.example");
      break;
    case RequestKind::kUnsafe:
      request.method = "POST";
      request.headers.add("Host", "orders.example");
      request.body = id;
      break;
    case RequestKind::kKeyed:
      request.headers.add("Host", "office.example");
      request.headers.add("Larchlever-Key", FleetNodeProcesses::kOfficeKey);
      break;
    case RequestKind::kStream:
    case RequestKind::kUnsafeStream:
      request.method = "POST";
      request.target = "/chat/1";
      request.headers.add("Host", kind == RequestKind::kStream ? kResumableHost : kNonResumableHost);
      request.headers.add("Larchlever-Model", std::hash<std::string>{}(id) % 2 == 0 ? "small" : "large");
      request.headers.add("Larchlever-Tokens", "100,25");
      request.body = id;
      break;
  }
  return request;
}

bool is_stream(RequestKind kind) { return kind == RequestKind::kStream || kind == RequestKind::kUnsafeStream; }

/// Whether the events of a stream are complete, in order and without duplicates.
bool is_whole_stream(const std::string& body, int events) {
  std::string expected;
  for (int event = 1; event <= events; ++event) {
    expected += "id: " + std::to_string(event) + "\ndata: token\n\n";
  }
  return body == expected;
}

}  // namespace

std::string to_string(RequestKind kind) {
  switch (kind) {
    case RequestKind::kRepeatable:
      return "repeatable";
    case RequestKind::kUnsafe:
      return "unsafe";
    case RequestKind::kKeyed:
      return "keyed";
    case RequestKind::kStream:
      return "stream";
    case RequestKind::kUnsafeStream:
      return "unsafe-stream";
  }
  return "";
}

struct MixedCallers::Implementation {
  Implementation(const FleetNodeProcesses& given_fleet, const Options& given_options)
      : fleet(given_fleet), options(given_options), client(context.get_executor()) {
    for (const auto& entry : fleet.entries()) {
      asio::co_spawn(context, send_until_stopped(entry), asio::detached);
    }
    thread = std::thread([this] { context.run(); });
  }

  asio::awaitable<void> send_until_stopped(std::string entry) {
    asio::steady_timer timer(context);
    auto next = Clock::now();
    for (size_t number = 0; !stopped; ++number) {
      const RequestKind kind = options.kinds[number % options.kinds.size()];
      asio::co_spawn(context, send(entry, kind, entry + "-" + to_string(kind) + "-" + std::to_string(number)),
                     asio::detached);
      next += options.interval;
      timer.expires_at(next);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  asio::awaitable<void> send(std::string entry, RequestKind kind, std::string id) {
    const auto request = make_request(kind, id, options.deadline);
    const std::string endpoint = fleet.caller_endpoint(entry);
    const std::chrono::milliseconds timeout = options.deadline + kDeadlineMargin;
    CallResult result;
    result.entry = entry;
    result.kind = kind;
    result.request_id = id;
    result.sent_at = Clock::now();
    const auto fetched = co_await client.fetch(endpoint, request, timeout);
    result.latency = Clock::now() - result.sent_at;
    result.status = fetched.response ? fetched.response->status : 0;
    result.retry_after_seconds =
        fetched.response ? std::atof(std::string(fetched.response->headers.find("retry-after")).c_str()) : 0;
    result.is_served = fetched.response && result.status == http_status::kOk && fetched.error.empty() &&
                       (is_stream(kind) ? is_whole_stream(fetched.response->body, kStreamEvents)
                                        : fetched.response->body == kPlainBody);
    result.description =
        fetched.response ? std::to_string(result.status) + " " + fetched.response->body : fetched.error;
    results.push_back(std::move(result));
  }

  /// Number of events of each stream of `RegisteredEngines` by default.
  static constexpr int kStreamEvents = 5;
  /// Body of the responses of `FormsServer`.
  static constexpr const char* kPlainBody = "form";

  const FleetNodeProcesses& fleet;
  Options options;
  asio::io_context context;
  net::HttpClient client;
  std::atomic<bool> stopped = false;
  std::vector<CallResult> results;
  std::thread thread;
};

MixedCallers::MixedCallers(const FleetNodeProcesses& fleet, const Options& options)
    : implementation_(std::make_unique<Implementation>(fleet, options)) {}

MixedCallers::~MixedCallers() { stop(); }

std::vector<CallResult> MixedCallers::stop() {
  implementation_->stopped = true;
  if (implementation_->thread.joinable()) {
    implementation_->thread.join();  // The context runs until all coroutines have ended.
  }
  return implementation_->results;
}

}  // namespace larchlever::integration
