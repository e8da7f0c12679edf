#include "camphorlug/support/task.h"

#include "camphorlug/support/log.h"
#include "camphorlug/support/shutdown_exception.h"

#include <asio/co_spawn.hpp>

namespace camphorlug::support {

void spawn(const asio::any_io_executor& executor, std::string name, task<> work) {
  auto report = [name = std::move(name)](const std::exception_ptr& failure) {
    if (!failure)
      return;
    try {
      std::rethrow_exception(failure);
    } catch (const shutdown_exception&) {
      return;
    } catch (const std::exception& error) {
      log_event(log_level::error, "task_failed", {{"task", name}, {"error", error.what()}});
    }
  };
  asio::co_spawn(executor, std::move(work), std::move(report));
}

} // namespace camphorlug::support
