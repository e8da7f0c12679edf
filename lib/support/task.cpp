#include "camphorlug/support/task.h"

#include "camphorlug/support/clock.h"
#include "camphorlug/support/log.h"
#include "camphorlug/support/shutdown_exception.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <utility>

namespace camphorlug::support {

static constexpr std::chrono::milliseconds min_restart_delay{100};
static constexpr std::chrono::milliseconds max_restart_delay{5000};

static void log_failure(const std::string& task, const std::exception& error) {
  log_event(log_level::error, "task_failed", {{"task", task}, {"error", error.what()}});
}

void spawn(const asio::any_io_executor& executor, std::string name, task<> work) {
  auto report = [name = std::move(name)](const std::exception_ptr& failure) {
    if (!failure)
      return;
    try {
      std::rethrow_exception(failure);
    } catch (const shutdown_exception&) {
      return;
    } catch (const std::exception& error) {
      log_failure(name, error);
    }
  };
  asio::co_spawn(executor, std::move(work), std::move(report));
}

/// Runs the task once. Returns whether an exception ended it.
static task<bool> run_once(const std::string& name, const std::function<task<>()>& begin) {
  try {
    co_await begin();
  } catch (const shutdown_exception&) {
    throw;
  } catch (const std::exception& error) {
    log_failure(name, error);
    co_return true;
  }
  co_return false;
}

static task<> run_lasting(clock& time, std::string name, std::function<task<>()> begin) {
  std::chrono::nanoseconds delay = min_restart_delay;
  for (;;) {
    const auto began_at = time.now();
    const bool failed = co_await run_once(name, begin);
    if (!failed)
      co_return;
    if (time.now() - began_at > max_restart_delay)
      delay = min_restart_delay;
    co_await time.sleep_for(delay);
    delay = std::min<std::chrono::nanoseconds>(2 * delay, max_restart_delay);
  }
}

void spawn_lasting(const asio::any_io_executor& executor, clock& time, std::string name,
                   std::function<task<>()> begin) {
  spawn(executor, name, run_lasting(time, name, std::move(begin)));
}

} // namespace camphorlug::support
