#include "camphorlug/watching/watcher.h"

#include "camphorlug/net/transport_error.h"

namespace camphorlug::watching {

static constexpr std::chrono::milliseconds report_interval{500};
static constexpr std::chrono::milliseconds report_timeout{800};

watcher::watcher(asio::any_io_executor executor, support::clock& time,
                 support::random_source& random, targets::target_client& targets,
                 instance_directory& directory, observation_cache& observations, std::string node,
                 watch_filter filter)
    : executor_(std::move(executor)), time_(time), random_(random), targets_(targets),
      directory_(directory), observations_(observations), node_(std::move(node)),
      filter_(std::move(filter)) {}

bool watcher::should_watch(const table::listed_instance& instance) const {
  return instance.role != table::instance_role::entry && filter_(instance);
}

void watcher::refresh() {
  for (const auto& [id, instance] : directory_.all()) {
    if (should_watch(instance) && watched_.insert(id).second)
      support::spawn(executor_, "watch " + id, watch(id));
  }
}

support::task<> watcher::watch(std::string instance) {
  // Spreads the first requests over the interval to avoid bursts.
  co_await time_.sleep_for(std::chrono::duration_cast<std::chrono::nanoseconds>(
      report_interval * random_.uniform_real()));
  for (;;) {
    const table::listed_instance* listed = directory_.find(instance);
    if (!listed || !should_watch(*listed))
      break;
    co_await poll(*listed);
    co_await time_.sleep_for(report_interval);
  }
  watched_.erase(instance);
}

support::task<> watcher::poll(table::listed_instance instance) {
  const auto began = time_.now();
  try {
    targets::instance_report report;
    if (instance.role == table::instance_role::plain) {
      report.ready = co_await targets_.healthy(instance.address, report_timeout);
      report.instance = instance.id;
    } else {
      report = co_await targets_.report(instance.address, report_timeout);
    }
    // Another instance may have taken over the address.
    if (report.instance == instance.id)
      observations_.record_report(std::move(report), began, node_);
    else
      observations_.record_absence(instance.id, began, node_);
  } catch (const net::transport_error& error) {
    const bool refused = error.progress() == net::request_progress::not_sent && !error.timed_out();
    if (refused)
      observations_.record_absence(instance.id, began, node_);
  }
}

} // namespace camphorlug::watching
