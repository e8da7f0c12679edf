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
  if (notice.cold_remaining && registry_.mark_cold(target, {started_at_ms, *notice.cold_remaining}))
    metrics_.count_notice("cold");
  if (notice.request_limit)
    limits_.observe(target, started_at_ms, notice.request_limit);
}

void notice_handler::apply_response(const std::string& target, std::int64_t started_at_ms,
                                    const target_notice& notice) {
  apply(target, started_at_ms, notice);
  if (!notice.request_limit)
    limits_.observe(target, started_at_ms, std::nullopt);
}

} // namespace camphorlug::gateway
