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
  int callers = 16;
  uint64_t requests = 1000;  ///< Requests in all; resends come on top.
  int prompts = 32;          ///< Distinct leading parts, shared among requests.
  size_t prompt_bytes = 256;
  int most_tokens = 12;
  int most_sendings = 6;
  /// Shares in percent; the rest is unsafe model requests without a key.
  int keyed_percent = 40;
  int safe_percent = 30;
  int service_percent = 20;
  std::chrono::milliseconds timeout{30'000};
  std::chrono::milliseconds resend_pause{200};
  uint64_t seed = 1;
};

struct LoadReport {
  uint64_t requests = 0;
  uint64_t sendings = 0;
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  /// Attempts answered with an error after an earlier attempt of the request had been sent and not answered whole.
  uint64_t refused_after_loss = 0;
  uint64_t lost = 0;
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
  void stop() { stopped_ = true; }
  const std::vector<HistoryRecord>& history() const { return history_; }
  const LoadReport& report() const { return report_; }

 private:
  enum class Kind { kKeyed, kSafe, kUnsafe, kServiceGet, kServicePost };
  struct Work {
    Kind kind = Kind::kSafe;
    std::string tag;
    std::string key;
    std::string expected;
    net::HttpRequest request;
    bool stream = false;
    std::mt19937_64 random;
    /// What its attempts so far tell of whether it ran.
    requests::Outcome earlier_outcome = requests::Outcome::kNotRun;

    int random_number(int least, int most);
  };

  boost::asio::awaitable<void> caller();
  boost::asio::awaitable<void> perform(Work work);
  boost::asio::awaitable<HistoryRecord> send(Work& work);
  Work next_work();
  void fill_model_request(Work& work);

  boost::asio::any_io_executor executor_;
  LoadOptions options_;
  net::HttpClient client_;
  uint64_t started_ = 0;
  int running_ = 0;
  bool stopped_ = false;
  std::vector<HistoryRecord> history_;
  LoadReport report_;
};

/// The stand-ins' execution log, fetched from their membership endpoint. Empty with `error` set on failure.
boost::asio::awaitable<std::vector<ExecutionRecord>> fetch_executions(net::HttpClient& client,
                                                                      const std::string& membership_endpoint,
                                                                      std::string& error);

}  // namespace larchlever::load
