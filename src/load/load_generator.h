#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/requests/outcome.h"
#include "load/history.h"
#include "net/http_client.h"

namespace larchlever::load {

struct LoadOptions {
  std::vector<std::string> nodes;  ///< Service addresses; each attempt uses a random one, like a load balancer.
  std::vector<std::string> tenants;
  std::string model;
  std::string service_path;  ///< Path prefix of plain service requests; empty for none.
  int caller_count = 16;
  uint64_t request_count = 1000;  ///< Total number of requests, not counting retries.
  int prompt_count = 32;          ///< Number of distinct prompt prefixes, shared among requests.
  size_t prompt_bytes = 256;
  int max_output_tokens = 12;
  int max_attempts = 6;
  /// Shares of the request kinds; the rest are model requests that are not repeatable and have no key.
  int keyed_percent = 40;
  int safe_percent = 30;
  int service_percent = 20;
  std::chrono::milliseconds timeout{30'000};
  std::chrono::milliseconds retry_delay{200};
  uint64_t seed = 1;
};

struct LoadReport {
  uint64_t requests = 0;
  uint64_t attempts = 0;
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  /// Attempts that got an error after an earlier attempt of the same request may have run.
  uint64_t refused_after_lost_answer = 0;
  uint64_t gave_up = 0;  ///< Requests without a complete successful answer after their last attempt.
  double seconds = 0;
  std::vector<double> latency_ms;      ///< From the first attempt to the complete answer.
  std::vector<double> first_token_ms;  ///< Streamed answers only.
  std::vector<double> between_tokens_ms;
};

/// Returns the given percentile of unsorted samples; zero if there are none.
double percentile(std::vector<double> samples, double percent);

/// Runs a fixed number of concurrent callers that send model and plain service requests, retry those that may be
/// retried, and record every answer. The content of a request and the nodes of its attempts depend only on the seed and
/// the request's number, not on how callers interleave. Uses one executor.
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::any_io_executor executor, LoadOptions options);

  /// Completes when all callers have finished.
  boost::asio::awaitable<void> run();
  /// Stops each caller after its current attempt.
  void stop() { stop_requested_ = true; }
  const std::vector<AttemptRecord>& history() const { return history_; }
  const LoadReport& report() const { return report_; }

 private:
  enum class Kind { kKeyed, kSafe, kUnsafe, kServiceGet, kServicePost };
  struct GeneratedRequest {
    Kind kind = Kind::kSafe;
    std::string tag;
    std::string key;
    std::string expected;
    net::HttpRequest request;
    bool stream = false;
    std::mt19937_64 random;
    /// Combined outcome of all attempts so far.
    requests::Outcome earlier_outcome = requests::Outcome::kNotRun;

    int random_number(int minimum, int maximum);
  };

  boost::asio::awaitable<void> run_caller();
  boost::asio::awaitable<void> run_request(GeneratedRequest generated);
  boost::asio::awaitable<AttemptRecord> send_attempt(GeneratedRequest& generated);
  GeneratedRequest make_next_request();
  void fill_model_request(GeneratedRequest& generated);

  boost::asio::any_io_executor executor_;
  LoadOptions options_;
  net::HttpClient client_;
  uint64_t started_requests_ = 0;
  int running_callers_ = 0;
  bool stop_requested_ = false;
  std::vector<AttemptRecord> history_;
  LoadReport report_;
};

/// Fetches the execution log of the emulated back ends from their membership endpoint. Returns an empty list and sets
/// `error` on failure.
boost::asio::awaitable<std::vector<ExecutionRecord>> fetch_executions(net::HttpClient& client,
                                                                      const std::string& membership_endpoint,
                                                                      std::string& error);

}  // namespace larchlever::load
