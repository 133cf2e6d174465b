#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/engine_model.h"
#include "emulator/execution_log.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace larchlever::emulator {

struct MachineOptions {
  std::string id;
  std::string zone;
  std::string domain;
  int accelerators = 8;
  /// "fenced" engines reject orders and requests with an old epoch; "basic" engines accept all of them.
  std::string kind = "fenced";
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  std::string weight_store;
  std::chrono::milliseconds load_report_lag{300};
  std::chrono::milliseconds cache_event_lag{500};
  EngineModelOptions engine;
};

enum class MachineCondition { kAlive, kPaused, kDead };

/// Emulates one machine of a model engine on its own port.
///
/// Published protocol: GET /engine/state, POST /engine/orders (load, release, role), GET /engine/cache-events?since=N
/// (delayed, may have gaps), POST /engine/kv/export and /engine/kv/import. The first machine of a group also serves
/// POST /v1/chat/completions and /v1/completions as an event stream that can be resumed and is cancelled by closing it.
/// A group needs all its machines: while a member is dead or paused the first machine produces no tokens, and a dead
/// member ends its streams. Uses one executor; not thread-safe.
class EmulatedMachine : public net::HttpHandler {
 public:
  /// Finds a machine of the fleet by id; null if there is none.
  using FindMachine = std::function<EmulatedMachine*(const std::string&)>;

  EmulatedMachine(boost::asio::any_io_executor executor, MachineOptions options, ExecutionLog& log,
                  FindMachine find_machine);
  ~EmulatedMachine() override;

  /// Starts or restarts the machine as a new incarnation without a group, weights or cache.
  bool start(std::string& error);
  void die();
  void pause();
  /// Ends a pause; the machine keeps its incarnation and all its state.
  void resume();

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;

  MachineCondition condition() const { return condition_; }
  const MachineOptions& options() const { return options_; }
  std::string endpoint() const { return options_.address + ":" + std::to_string(options_.port); }
  int64_t incarnation() const { return incarnation_; }
  int64_t group_id() const { return group_id_; }
  int64_t epoch() const { return epoch_; }
  bool loaded() const { return loaded_; }

 private:
  struct ResponseStream {
    std::deque<OutputToken> tokens;
    boost::asio::steady_timer wake_timer;
    bool failed = false;
    explicit ResponseStream(const boost::asio::any_io_executor& executor) : wake_timer(executor) {}
  };

  boost::asio::awaitable<void> handle_state_request(net::HttpExchange& exchange);
  boost::asio::awaitable<void> handle_order(net::HttpExchange& exchange);
  boost::asio::awaitable<void> handle_completion_request(net::HttpExchange& exchange);
  boost::asio::awaitable<void> handle_cache_events_request(net::HttpExchange& exchange);
  boost::asio::awaitable<void> handle_kv_transfer(net::HttpExchange& exchange, bool is_import);
  boost::asio::awaitable<void> load_weights(int64_t incarnation, int64_t epoch);
  boost::asio::awaitable<void> run_engine();
  boost::asio::awaitable<void> wait_while_paused();
  bool all_members_ready() const;
  bool any_member_lost() const;
  void fail_all_streams();
  void sample_load();

  boost::asio::any_io_executor executor_;
  MachineOptions options_;
  ExecutionLog& log_;
  FindMachine find_machine_;
  net::HttpClient client_;
  std::unique_ptr<net::HttpServer> server_;
  MachineCondition condition_ = MachineCondition::kDead;
  int64_t incarnation_ = 0;
  int64_t group_id_ = 0;
  int64_t epoch_ = 0;
  int64_t newest_epoch_ = 0;
  int64_t newest_term_ = 0;
  int rank_ = 0;
  bool loaded_ = false;
  std::string weights_;
  std::string target_weights_;
  std::vector<std::string> members_;
  EngineModel engine_;
  std::map<uint64_t, std::shared_ptr<ResponseStream>> streams_;
  uint64_t next_stream_ = 1;
  std::deque<std::pair<std::chrono::steady_clock::time_point, int>> load_samples_;
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

}  // namespace larchlever::emulator
