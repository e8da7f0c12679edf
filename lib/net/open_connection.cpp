#include "open_connection.h"

#include <utility>

namespace camphorlug::net {

open_connection::open_connection(connection_budget& budget, bool is_caller)
    : budget_(budget), is_caller_(is_caller) {
  ++budget_.open_;
  update_idle();
}

open_connection::~open_connection() {
  --budget_.open_;
  if (requests_ > 0)
    --budget_.busy_;
  if (was_closed_)
    --budget_.closing_;
  if (idle_place_)
    budget_.idle_.erase(*idle_place_);
}

void open_connection::end_read(std::size_t length) {
  reading_ = nullptr;
  if (length == 0)
    return;
  // The bytes had been read before `close` could cancel the read.
  if (std::exchange(was_closed_, false))
    --budget_.closing_;
  has_partial_request_ = true;
  update_idle();
}

void open_connection::begin_request() {
  has_partial_request_ = false;
  if (requests_++ > 0)
    return;
  ++budget_.busy_;
  update_idle();
  // The request's call needs a descriptor, too.
  if (!budget_.has_room_for(0))
    budget_.close_longest_idle();
}

void open_connection::end_request() {
  if (--requests_ > 0)
    return;
  --budget_.busy_;
  update_idle();
}

bool open_connection::close() {
  asio::error_code ignored;
  if (!reading_ || reading_->available(ignored) > 0)
    return false;
  was_closed_ = true;
  ++budget_.closing_;
  update_idle();
  reading_->cancel(ignored);
  return true;
}

void open_connection::update_idle() {
  const bool is_idle = requests_ == 0 && !has_partial_request_ && !was_closed_;
  if (is_idle == idle_place_.has_value())
    return;
  if (is_idle) {
    idle_since_ = budget_.time_.now();
    idle_place_ = budget_.idle_.insert(budget_.idle_.end(), this);
  } else {
    budget_.idle_.erase(*std::exchange(idle_place_, std::nullopt));
  }
}

} // namespace camphorlug::net
