#include "camphorlug/table/staleness_tracker.h"

#include <algorithm>

namespace camphorlug::table {

void staleness_tracker::confirm(support::clock::time_point as_of) {
  as_of_ = as_of_ ? std::max(*as_of_, as_of) : as_of;
}

void staleness_tracker::confirm_version(std::uint64_t version, support::clock::time_point as_of,
                                        std::uint64_t held) {
  newest_version_ = std::max(newest_version_, version);
  if (version <= held)
    confirm(as_of);
  else if (!pending_ || as_of > pending_->as_of)
    pending_ = {version, as_of};
}

void staleness_tracker::update_held(std::uint64_t held) {
  newest_version_ = std::max(newest_version_, held);
  if (!pending_ || pending_->version > held)
    return;
  confirm(pending_->as_of);
  pending_.reset();
}

} // namespace camphorlug::table
