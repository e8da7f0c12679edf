#include "camphorlug/edge/store_reader_duty.h"

namespace camphorlug::edge {

/// A node that knows no other one for this long reads the store itself.
static constexpr std::chrono::milliseconds isolation_time{1500};
/// Spreads the reads of many isolated nodes.
static constexpr std::chrono::milliseconds max_isolation_jitter{800};
/// A node begins to read the store when it has had the duty for this long; while nodes still
/// discover each other, many of them believe to have it.
static constexpr std::chrono::milliseconds reader_start_delay{300};
/// Longer than the start of another reader takes.
static constexpr std::chrono::milliseconds reader_stop_delay{1500};

store_reader_duty::store_reader_duty(support::clock& time, support::random_source& random)
    : time_(time), isolation_jitter_(std::chrono::duration_cast<std::chrono::nanoseconds>(
                       max_isolation_jitter * random.uniform_real())) {}

bool store_reader_duty::is_wanted(bool is_alone, bool is_reader) {
  if (!is_alone) {
    alone_since_.reset();
    return is_reader;
  }
  if (!alone_since_)
    alone_since_ = time_.now();
  return time_.now() - *alone_since_ >= isolation_time + isolation_jitter_;
}

bool store_reader_duty::update(bool is_alone, bool is_reader) {
  const bool wanted = is_wanted(is_alone, is_reader);
  if (wanted == is_active_) {
    differs_since_.reset();
    return false;
  }
  if (!differs_since_)
    differs_since_ = time_.now();
  if (time_.now() - *differs_since_ < (wanted ? reader_start_delay : reader_stop_delay))
    return false;
  is_active_ = wanted;
  return true;
}

} // namespace camphorlug::edge
