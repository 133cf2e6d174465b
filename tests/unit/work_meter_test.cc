#include "core/base/work_meter.h"

#include <gtest/gtest.h>

namespace larchlever {
namespace {

// Guards against a stalled loop that names a frequent kind of work instead of the one that took its time.
TEST(WorkMeter, ListsTheKindThatTookMostTimeFirst) {
  WorkMeter meter;
  for (int message = 0; message < 5; ++message) {
    meter.add("heartbeats", milliseconds(1));
  }
  meter.add("reports", milliseconds(40), 300);
  meter.add("reports", milliseconds(20), 100);
  EXPECT_EQ(meter.busy(), milliseconds(65));
  const auto totals = meter.take_totals();
  EXPECT_EQ(format_work(totals, 1), "reports:60ms/2x/400rows/40ms");
  EXPECT_EQ(format_work(totals, 9), "reports:60ms/2x/400rows/40ms,heartbeats:5ms/5x/5rows/1ms");
  EXPECT_EQ(meter.busy(), Duration::zero());
  EXPECT_TRUE(meter.take_totals().empty());
}

}  // namespace
}  // namespace larchlever
