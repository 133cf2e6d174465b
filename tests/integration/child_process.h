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

/// Where the standard output and error of a process under test go.
enum class OutputTarget {
  kFile,
  /// A pipe that is already full and that nobody reads.
  kFullPipe,
  /// Standard input, output and error are closed.
  kClosed,
};

/// Starts the program under test. Standard output and standard error go to the file `output`, unless `kind` selects
/// another target. `environment` holds NAME=VALUE pairs that are added to the environment of this process. Returns the
/// process id, or -1 on failure.
int spawn_program(const std::vector<std::string>& arguments, const std::filesystem::path& output,
                  const std::vector<std::string>& environment = {}, OutputTarget kind = OutputTarget::kFile);

std::string read_file(const std::filesystem::path& path);
void write_file(const std::filesystem::path& path, const std::string& content);

/// Polls until `condition` holds. Returns false if it does not hold within `max_wait`.
bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds max_wait = std::chrono::seconds(90));

/// Prints the last part of every log file in `folder` if the current test has failed.
void print_logs_on_failure(const std::filesystem::path& folder);

/// A blocking HTTP client for tests, with an I/O thread of its own.
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

/// Closes a server that runs in the I/O context of `client`, waits until its sessions have ended and destroys it on
/// that thread. The sessions use the server and its handler until they end.
void destroy_server_on_client_thread(BlockingClient& client, std::unique_ptr<net::HttpServer>& server);

}  // namespace larchlever::integration
