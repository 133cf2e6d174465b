#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"

namespace larchlever::integration {

/// Where a process under test writes.
enum class OutputTarget {
  kFile,
  /// Into a pipe that is full already and that nobody reads.
  kFullPipe,
  /// Standard input, output and error are closed.
  kClosed,
};

/// Starts the program under test with standard output and standard error going to `output`, unless `kind` says
/// otherwise. `environment` is added to this process's own, as NAME=VALUE. Returns the process id, or -1.
int spawn_program(const std::vector<std::string>& arguments, const std::filesystem::path& output,
                  const std::vector<std::string>& environment = {}, OutputTarget kind = OutputTarget::kFile);

std::string read_file(const std::filesystem::path& path);
void write_file(const std::filesystem::path& path, const std::string& content);

/// Polls until `condition` holds; false after the deadline.
bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds max_wait = std::chrono::seconds(90));

/// Prints the ends of all logs in `folder` when the test that runs has failed.
void print_logs_on_failure(const std::filesystem::path& folder);

/// An HTTP client for tests: calls from the test's thread block until the answer is there.
class BlockingClient {
 public:
  BlockingClient();
  ~BlockingClient();
  BlockingClient(const BlockingClient&) = delete;
  BlockingClient& operator=(const BlockingClient&) = delete;

  net::FetchResult fetch(const std::string& endpoint, const net::HttpRequest& request,
                         std::chrono::milliseconds timeout = std::chrono::seconds(30));
  boost::asio::io_context& context() { return context_; }
  net::HttpClient& client() { return *client_; }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
  std::unique_ptr<net::HttpClient> client_;
};

/// Closes a server that runs in the client's context and waits until its sessions have ended: they use the server and
/// its handler until then, on that thread.
void destroy_server_on_client_thread(BlockingClient& client, std::unique_ptr<net::HttpServer>& server);

}  // namespace larchlever::integration
