#pragma once

#include "camphorlug/net/http_exchange.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/targets/instance_order.h"
#include "camphorlug/targets/instance_report.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::fakes {

/// Fault of the next connections to an engine or plain service.
enum class connection_fault {
  none,
  /// The connection is refused.
  refused,
  /// The connection breaks after the request was read and executed.
  broken_after_run,
  /// The connection breaks after the request was read, but not executed.
  broken_before_run,
  /// The request is executed, but no response arrives.
  silent,
  /// The response has a status that declares that the request was not executed.
  declared_not_run,
  /// The request is executed, and the response is an error of the target itself.
  failed,
  /// The response belongs to another request.
  crossed,
  /// The request is executed, and the response has status 500.
  server_error,
  /// The exchange ends with an exception that the interface does not name.
  unexpected,
};

/// Fault that a stream has once, at the event `fake_engine::fault_at`: the connection breaks
/// (cut), no event arrives (stall), the event belongs to another stream (crossed), an earlier
/// event arrives again (repeated), or an event is missing (gap).
enum class stream_fault { none, cut, stall, crossed, repeated, gap };

/// A generation, which the engine stores under its attempt id.
struct fake_stream {
  std::string prompt;
  std::size_t wanted = 0;
};

/// A fake target: a rank of a group or an instance of a plain service.
struct fake_engine {
  targets::instance_report report;
  std::string address;
  bool alive = true;
  /// All exchanges time out.
  bool frozen = false;
  /// Refuses orders with a smaller number than the last accepted one.
  bool checks_numbers = true;
  std::chrono::nanoseconds load_time{std::chrono::seconds(5)};
  std::chrono::nanoseconds token_time{std::chrono::milliseconds(10)};
  support::clock::time_point ready_at;

  connection_fault next_connection = connection_fault::none;
  /// Number of next connections that have the fault `next_connection`; those that cancel a stream
  /// have none.
  std::size_t faulty_connections = 0;
  stream_fault fault = stream_fault::none;
  std::size_t fault_at = 0;
  /// Discards a stream when its connection breaks, so that it cannot be resumed.
  bool drops_streams_on_disconnect = false;

  std::map<std::string, fake_stream> streams;
  /// Attempt ids of all executed requests.
  std::vector<std::string> executed;
  /// Accepted orders.
  std::vector<targets::instance_order> orders;
};

/// Formats an event of a generation as an engine sends it.
std::string engine_event(const std::string& attempt, const fake_stream& stream, std::size_t index);

/// Returns the complete text of a generation without faults.
std::string complete_text(const std::string& prompt, std::size_t tokens);

} // namespace camphorlug::fakes
