#include "node/log_output.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <string>

namespace larchlever::node {
namespace {

constexpr size_t kPipeSize = 8192;
constexpr size_t kMostKept = 2000;

/// A pipe of two pages, the least that takes a line while another waits; its writing end blocks when it is full.
class Pipe {
 public:
  Pipe() {
    EXPECT_EQ(::pipe2(ends_, O_CLOEXEC), 0);
    EXPECT_GE(::fcntl(ends_[1], F_SETPIPE_SZ, kPipeSize), 0);
    EXPECT_EQ(::fcntl(ends_[0], F_SETFL, O_NONBLOCK), 0);
  }
  ~Pipe() {
    close_reader();
    ::close(ends_[1]);
  }
  int writer() const { return ends_[1]; }
  void close_reader() {
    if (ends_[0] >= 0) {
      ::close(ends_[0]);
      ends_[0] = -1;
    }
  }
  std::string read_all() {
    std::string text;
    char piece[1024];
    for (ssize_t count = ::read(ends_[0], piece, sizeof(piece)); count > 0;
         count = ::read(ends_[0], piece, sizeof(piece))) {
      text.append(piece, static_cast<size_t>(count));
    }
    return text;
  }

 private:
  int ends_[2] = {-1, -1};
};

std::string line(int number) { return "line " + std::to_string(number) + " " + std::string(80, '.') + "\n"; }

TEST(LogOutput, WritesAtOnceWhatTheReaderTakes) {
  Pipe pipe;
  LogOutput output(pipe.writer(), kMostKept);
  output.write("one\n");
  output.write("two\n");
  EXPECT_EQ(pipe.read_all(), "one\ntwo\n");
  EXPECT_EQ(output.kept_bytes(), 0U);
}

TEST(LogOutput, NeitherWaitsNorGrowsWhileNobodyReads) {
  Pipe pipe;
  LogOutput output(pipe.writer(), kMostKept);
  for (int number = 0; number < 1000; ++number) {
    output.write(line(number));
    EXPECT_LE(output.kept_bytes(), kMostKept);
  }
  EXPECT_GT(output.dropped_lines(), 900U);
}

TEST(LogOutput, GoesOnInOrderAndTellsWhatWasDroppedOnceTheReaderReads) {
  Pipe pipe;
  LogOutput output(pipe.writer(), kMostKept);
  constexpr int kLines = 200;
  for (int number = 0; number < kLines; ++number) {
    output.write(line(number));
  }
  const uint64_t dropped = output.dropped_lines();
  ASSERT_GT(dropped, 0U);
  std::string text = pipe.read_all();
  output.write(line(kLines));
  text += pipe.read_all();
  output.flush();
  text += pipe.read_all();
  std::string expected;
  for (int number = 0; number < kLines - static_cast<int>(dropped); ++number) {
    expected += line(number);
  }
  expected += "event=log_lines_dropped count=" + std::to_string(dropped) + "\n" + line(kLines);
  EXPECT_EQ(text, expected);
}

TEST(LogOutput, OutlivesItsReader) {
  std::signal(SIGPIPE, SIG_IGN);
  Pipe pipe;
  LogOutput output(pipe.writer(), kMostKept);
  pipe.close_reader();
  for (int number = 0; number < 100; ++number) {
    output.write(line(number));
  }
  EXPECT_EQ(output.kept_bytes(), 0U);
}

}  // namespace
}  // namespace larchlever::node
