#include "camphorlug/net/connection_budget.h"

#include "open_connection.h"

namespace camphorlug::net {

bool connection_budget::has_room_for(std::size_t further) const {
  return open_ - closing_ + busy_ + further <= limit_;
}

bool connection_budget::close_longest_idle() {
  for (open_connection* each : idle_) {
    if (!each->close())
      continue;
    ++closed_for_room_;
    return true;
  }
  return false;
}

bool connection_budget::make_room() {
  while (!has_room_for(1)) {
    if (!close_longest_idle())
      return false;
  }
  return true;
}

void connection_budget::close_idle_for(std::chrono::nanoseconds limit) {
  const auto now = time_.now();
  for (auto next = idle_.begin(); next != idle_.end() && now - (*next)->idle_since() >= limit;) {
    // `close` removes it from the list.
    open_connection* const each = *next++;
    if (each->is_caller())
      each->close();
  }
}

} // namespace camphorlug::net
