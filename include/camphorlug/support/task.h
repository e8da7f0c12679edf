#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <string>

namespace camphorlug::support {

/// A coroutine that runs on the node's single thread.
template<class Value = void>
using task = asio::awaitable<Value>;

/// Starts `work` detached on `executor`. An exception that escapes it is logged under
/// `name`, except shutdown_exception, which ends it silently.
void spawn(const asio::any_io_executor& executor, std::string name, task<> work);

} // namespace camphorlug::support
