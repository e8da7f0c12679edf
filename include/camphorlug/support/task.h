#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <functional>
#include <string>

namespace camphorlug::support {

/// A coroutine that runs on the node's single thread.
template<class Value = void>
using task = asio::awaitable<Value>;

/// Starts `work` detached on `executor`. An exception that escapes it is logged under
/// `name`, except shutdown_exception, which ends it silently.
void spawn(const asio::any_io_executor& executor, std::string name, task<> work);

class clock;

/// Starts work that lasts as long as the process. If an exception escapes its task, other than
/// shutdown_exception, that is logged under `name`, and `begin` is called again after a delay that
/// grows with each failure in a row. `time` must outlive the executor's tasks.
void spawn_lasting(const asio::any_io_executor& executor, clock& time, std::string name,
                   std::function<task<>()> begin);

} // namespace camphorlug::support
