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

/// What goes wrong with the next connections of an engine or plain service.
enum class connection_fault {
  none,
  /// The connection is refused.
  refused,
  /// The request is read, and run, and the connection breaks.
  broken_after_run,
  /// The request is read, not run, and the connection breaks.
  broken_before_run,
  /// The request is run and nothing ever comes.
  silent,
  /// An answer with a status that means "not run".
  declared_not_run,
  /// Another request's answer.
  crossed,
};

/// What goes wrong with a stream, once, at an event's index.
enum class stream_fault { none, cut, stall, crossed, repeated, gap };

/// A generation that the engine knows by its attempt id.
struct fake_stream {
  std::string prompt;
  std::size_t wanted = 0;
};

/// One fake target: a rank of a group, or an instance of a plain service.
struct fake_engine {
  targets::instance_report report;
  std::string address;
  bool alive = true;
  /// Exchanges time out.
  bool frozen = false;
  bool checks_numbers = true;
  std::chrono::nanoseconds load_time{std::chrono::seconds(5)};
  std::chrono::nanoseconds token_time{std::chrono::milliseconds(10)};
  support::clock::time_point ready_at;

  connection_fault next_connection = connection_fault::none;
  /// How many connections have the fault.
  std::size_t faulty_connections = 0;
  stream_fault fault = stream_fault::none;
  std::size_t fault_at = 0;
  /// Forgets streams when their connection breaks.
  bool drops_streams_on_disconnect = false;

  std::map<std::string, fake_stream> streams;
  /// Attempt ids of all requests that ran.
  std::vector<std::string> executed;
  /// Orders that were obeyed.
  std::vector<targets::instance_order> orders;
};

/// An event of a generation as an engine sends it.
std::string engine_event(const std::string& attempt, const fake_stream& stream, std::size_t index);

/// The text of an undisturbed generation.
std::string whole_text(const std::string& prompt, std::size_t tokens);

} // namespace camphorlug::fakes
