#include "node/log_output.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <string>

namespace larchlever::node {
namespace {

constexpr size_t kPipeBytes = 8192;
constexpr size_t kMaxBufferedBytes = 2000;

/// A pipe with a capacity of two pages, the minimum that accepts a line while another one is still unread. Its write
/// end blocks when the pipe is full.
class Pipe {
 public:
  Pipe() {
    EXPECT_EQ(::pipe2(descriptors_, O_CLOEXEC), 0);
    EXPECT_GE(::fcntl(descriptors_[1], F_SETPIPE_SZ, kPipeBytes), 0);
    EXPECT_EQ(::fcntl(descriptors_[0], F_SETFL, O_NONBLOCK), 0);
  }
  ~Pipe() {
    close_reader();
    ::close(descriptors_[1]);
  }
  int writer_descriptor() const { return descriptors_[1]; }
  void close_reader() {
    if (descriptors_[0] >= 0) {
      ::close(descriptors_[0]);
      descriptors_[0] = -1;
    }
  }
  std::string read_all() {
    std::string text;
    char piece[1024];
    for (ssize_t count = ::read(descriptors_[0], piece, sizeof(piece)); count > 0;
         count = ::read(descriptors_[0], piece, sizeof(piece))) {
      text.append(piece, static_cast<size_t>(count));
    }
    return text;
  }

 private:
  int descriptors_[2] = {-1, -1};
};

std::string make_line(int number) { return "line " + std::to_string(number) + " " + std::string(80, '.') + "\n"; }

TEST(LogOutput, WritesImmediatelyWhenReaderKeepsUp) {
  Pipe pipe;
  LogOutput output(pipe.writer_descriptor(), kMaxBufferedBytes);
  output.write("one\n");
  output.write("two\n");
  EXPECT_EQ(pipe.read_all(), "one\ntwo\n");
  EXPECT_EQ(output.buffered_bytes(), 0U);
}

TEST(LogOutput, StaysNonBlockingAndBoundedWithoutReader) {
  Pipe pipe;
  LogOutput output(pipe.writer_descriptor(), kMaxBufferedBytes);
  for (int number = 0; number < 1000; ++number) {
    output.write(make_line(number));
    EXPECT_LE(output.buffered_bytes(), kMaxBufferedBytes);
  }
  EXPECT_GT(output.dropped_lines(), 900U);
}

TEST(LogOutput, KeepsOrderAndReportsDroppedLinesWhenReaderResumes) {
  Pipe pipe;
  LogOutput output(pipe.writer_descriptor(), kMaxBufferedBytes);
  constexpr int kLines = 200;
  for (int number = 0; number < kLines; ++number) {
    output.write(make_line(number));
  }
  const uint64_t dropped = output.dropped_lines();
  ASSERT_GT(dropped, 0U);
  std::string text = pipe.read_all();
  output.write(make_line(kLines));
  text += pipe.read_all();
  output.flush();
  text += pipe.read_all();
  std::string expected;
  for (int number = 0; number < kLines - static_cast<int>(dropped); ++number) {
    expected += make_line(number);
  }
  expected += "event=log_lines_dropped count=" + std::to_string(dropped) + "\n" + make_line(kLines);
  EXPECT_EQ(text, expected);
}

TEST(LogOutput, DiscardsOutputAfterReaderCloses) {
  std::signal(SIGPIPE, SIG_IGN);
  Pipe pipe;
  LogOutput output(pipe.writer_descriptor(), kMaxBufferedBytes);
  pipe.close_reader();
  for (int number = 0; number < 100; ++number) {
    output.write(make_line(number));
  }
  EXPECT_EQ(output.buffered_bytes(), 0U);
}

}  // namespace
}  // namespace larchlever::node
