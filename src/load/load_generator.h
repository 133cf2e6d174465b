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
  std::vector<std::string> nodes;  ///< Service addresses; each sending takes one at random, as a balancer would.
  std::vector<std::string> tenants;
  std::string model;
  std::string service_path;  ///< Empty for no plain requests.
  int caller_count = 16;
  uint64_t request_count = 1000;  ///< Requests in all; resends come on top.
  int prompt_count = 32;          ///< Distinct leading parts, shared among requests.
  size_t prompt_bytes = 256;
  int max_output_tokens = 12;
  int max_attempts = 6;
  /// Shares in percent; the rest is unsafe model requests without a key.
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
  /// Attempts answered with an error after an earlier attempt of the request had been sent and not answered whole.
  uint64_t refused_after_lost_answer = 0;
  uint64_t gave_up = 0;
  double seconds = 0;
  std::vector<double> latency_ms;      ///< Whole answers, each from its first sending.
  std::vector<double> first_token_ms;  ///< Streams.
  std::vector<double> between_tokens_ms;
};

/// Value at a percentile of unsorted samples; zero for none.
double percentile(std::vector<double> samples, double percent);

/// Callers that send model and plain requests, resend keyed ones until they know, and record what they were told.
/// What a request is and which nodes its attempts take follows from the seed and its number alone, however callers
/// interleave. Bounded in number; one executor.
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::any_io_executor executor, LoadOptions options);

  /// Returns when every caller has finished.
  boost::asio::awaitable<void> run();
  /// Callers end after their present request.
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
    /// What its attempts so far tell of whether it ran.
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

/// The stand-ins' execution log, fetched from their membership endpoint. Empty with `error` set on failure.
boost::asio::awaitable<std::vector<ExecutionRecord>> fetch_executions(net::HttpClient& client,
                                                                      const std::string& membership_endpoint,
                                                                      std::string& error);

}  // namespace larchlever::load
