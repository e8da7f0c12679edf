#include "camphorlug/gateway/notice_handler.h"

namespace camphorlug::gateway {

void notice_handler::apply(const std::string& target, std::int64_t started_at_ms,
                           const target_notice& notice) {
  if (notice.leaving && registry_.mark_leaving(target, started_at_ms))
    metrics_.count_notice("leaving");
  if (notice.retry_after) {
    pauses_.pause(target, started_at_ms, *notice.retry_after);
    metrics_.count_notice("retry_after");
  }
}

} // namespace camphorlug::gateway
