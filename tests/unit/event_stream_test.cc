#include "core/requests/event_stream.h"

#include <gtest/gtest.h>

#include <string>

namespace larchlever::requests {
namespace {

constexpr size_t kPieceBytes = 16 * 1024;

// Guards against a server that sends an event without end.
TEST(EventStreamSplitter, KeepsNoMoreThanTheLongestEvent) {
  EventStreamSplitter stream;
  const std::string piece(kPieceBytes, 'x');
  for (size_t fed_bytes = 0; fed_bytes < 64 * EventStreamSplitter::kMaxEventBytes; fed_bytes += piece.size()) {
    EXPECT_EQ(stream.feed(piece), "");
    ASSERT_LE(stream.pending().size(), EventStreamSplitter::kMaxEventBytes + piece.size());
  }
  EXPECT_TRUE(stream.is_event_too_long());
  EXPECT_EQ(stream.feed("\n\nid: 1\ndata: a\n\n"), "") << "what follows an event that was given up is not passed on";
}

TEST(EventStreamSplitter, PassesOnEventOfTheLargestSize) {
  EventStreamSplitter stream;
  const std::string begin = "id: 1\ndata: ";
  const std::string event = begin + std::string(EventStreamSplitter::kMaxEventBytes - begin.size(), 'x');
  EXPECT_EQ(stream.feed(event), "");
  EXPECT_FALSE(stream.is_event_too_long());
  EXPECT_EQ(stream.feed("\n\n"), event + "\n\n");
  EXPECT_EQ(stream.last_id(), 1);
  EXPECT_EQ(stream.feed(event + "x"), "");
  EXPECT_TRUE(stream.is_event_too_long());
}

TEST(EventStreamSplitter, ContinuesWithAnotherServerAfterTooLongEvent) {
  EventStreamSplitter stream;
  EXPECT_EQ(stream.feed("id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n");
  stream.feed(std::string(2 * EventStreamSplitter::kMaxEventBytes, 'x'));
  EXPECT_TRUE(stream.is_event_too_long());
  stream.restart();
  EXPECT_FALSE(stream.is_event_too_long());
  EXPECT_EQ(stream.feed("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_FALSE(stream.has_gap());
}

}  // namespace
}  // namespace larchlever::requests
