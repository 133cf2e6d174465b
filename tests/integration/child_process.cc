#include "child_process.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <spawn.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <sstream>

extern char** environ;

namespace larchlever::integration {

namespace asio = boost::asio;
namespace fs = std::filesystem;

namespace {

/// Size of the part of each log that is printed after a failure.
constexpr size_t kLogTailBytes = 3000;

std::vector<char*> null_terminated_pointers(std::vector<std::string>& argument_strings) {
  std::vector<char*> pointers;
  for (auto& argument : argument_strings) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

/// Returns the write end of a full pipe. Both ends stay open until the test process exits.
int full_pipe_write_end() {
  static const int write_end = [] {
    int pipe_ends[2] = {-1, -1};
    EXPECT_EQ(::pipe2(pipe_ends, O_CLOEXEC | O_NONBLOCK), 0);
    const std::string filler(4096, '.');
    while (::write(pipe_ends[1], filler.data(), filler.size()) > 0) {
    }
    // Processes under test get an ordinary pipe, in which writes block.
    EXPECT_EQ(::fcntl(pipe_ends[1], F_SETFL, 0), 0);
    return pipe_ends[1];
  }();
  return write_end;
}

}  // namespace

int spawn_program(const std::vector<std::string>& arguments, const fs::path& output,
                  const std::vector<std::string>& environment, OutputTarget kind) {
  std::vector<std::string> argument_strings = {LARCHLEVER_BINARY};
  argument_strings.insert(argument_strings.end(), arguments.begin(), arguments.end());
  std::vector<std::string> variables = environment;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    variables.emplace_back(*variable);
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  switch (kind) {
    case OutputTarget::kFile:
      posix_spawn_file_actions_addopen(&actions, 1, output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      posix_spawn_file_actions_adddup2(&actions, 1, 2);
      break;
    case OutputTarget::kFullPipe:
      posix_spawn_file_actions_adddup2(&actions, full_pipe_write_end(), 1);
      posix_spawn_file_actions_adddup2(&actions, full_pipe_write_end(), 2);
      break;
    case OutputTarget::kClosed:
      for (const int descriptor : {0, 1, 2}) {
        posix_spawn_file_actions_addclose(&actions, descriptor);
      }
      break;
  }
  // A child that inherited the listening socket of a simulated server would keep accepting connections after the server
  // closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  int pid = -1;
  const int spawn_error =
      ::posix_spawn(&pid, LARCHLEVER_BINARY, &actions, nullptr, null_terminated_pointers(argument_strings).data(),
                    null_terminated_pointers(variables).data());
  posix_spawn_file_actions_destroy(&actions);
  return spawn_error == 0 ? pid : -1;
}

std::string read_file(const fs::path& path) {
  std::ifstream file(path);
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

void write_file(const fs::path& path, const std::string& content) { std::ofstream(path) << content; }

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds max_wait) {
  const auto end = std::chrono::steady_clock::now() + max_wait;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

void print_logs_on_failure(const fs::path& folder) {
  if (!testing::Test::HasFailure()) {
    return;
  }
  for (const auto& item : fs::directory_iterator(folder)) {
    if (item.path().extension() == ".log") {
      const std::string text = read_file(item.path());
      std::cerr << "==== " << item.path().filename().string() << "\n"
                << text.substr(text.size() > kLogTailBytes ? text.size() - kLogTailBytes : 0) << "\n";
    }
  }
}

BlockingClient::BlockingClient() : work_(asio::make_work_guard(context_)) {
  client_ = std::make_unique<net::HttpClient>(context_.get_executor());
  thread_ = std::thread([this] { context_.run(); });
}

BlockingClient::~BlockingClient() {
  asio::post(context_, [this] {
    client_.reset();
    context_.stop();
  });
  thread_.join();
}

net::FetchResult BlockingClient::fetch(const std::string& endpoint, const net::HttpRequest& request,
                                       std::chrono::milliseconds timeout) {
  return asio::co_spawn(
             context_,
             [](net::HttpClient& client, std::string target, net::HttpRequest message,
                std::chrono::milliseconds fetch_timeout) -> asio::awaitable<net::FetchResult> {
               auto result = co_await client.fetch(target, message, fetch_timeout);
               co_return result;
             }(*client_, endpoint, request, timeout),
             asio::use_future)
      .get();
}

void destroy_server_on_client_thread(BlockingClient& client, std::unique_ptr<net::HttpServer>& server) {
  const auto run_on_client_thread = [&client](const auto& action) {
    return asio::post(client.context(), asio::use_future(action)).get();
  };
  run_on_client_thread([&server] { server->close_all(); });
  EXPECT_TRUE(
      wait_until([&] { return run_on_client_thread([&server] { return server->stats().open_connections == 0; }); }));
  run_on_client_thread([&server] { server.reset(); });
}

}  // namespace larchlever::integration
