#pragma once

#include "camphorlug/gateway/crash_record.h"
#include "camphorlug/net/client_request.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace camphorlug::gateway {

/// Prefix of the peers' paths that relay a request to a target.
inline constexpr std::string_view relay_prefix = "/camphorlug/v1/relay/";
/// Header of the response of a relay that got none from the target. Its value is one of
/// `relay_failure_*`. A relay never passes on such a header of a target.
inline constexpr std::string_view relay_failure_header = "Camphorlug-Relay-Failure";
/// The relay takes no further request; another one may.
inline constexpr std::string_view relay_failure_busy = "busy";
/// The request has not reached the target.
inline constexpr std::string_view relay_failure_not_sent = "not-sent";
/// The relay has got no connection to the target; another one may. Earlier builds read each value
/// that they do not know as `relay_failure_not_sent`.
inline constexpr std::string_view relay_failure_no_connection = "no-connection";
/// The target may have run the request.
inline constexpr std::string_view relay_failure_unknown = "unknown";
/// Accompanies `relay_failure_unknown` when the target's response cannot be read. Earlier builds
/// neither send nor read it.
inline constexpr std::string_view relay_unreadable_header = "Camphorlug-Relay-Unreadable";

/// Header of a response that a relay passes on: it ends the response only if the target has ended
/// it, and not if the target's process ended (see `target_liveness`). Earlier builds do not send
/// it; as askers they hand it to the caller.
inline constexpr std::string_view relay_confirms_end_header = "Camphorlug-Relay-Confirms-End";

/// What a relay needs to know of a request besides its headers and body.
struct relay_parameters {
  /// The process that may execute the request. Its id contains no slash.
  target_start start;
  /// `ip:port` of the target.
  std::string address;
  std::string method;
  net::connection_use connection = net::connection_use::fresh;
  /// Time after which the sender no longer waits.
  std::chrono::milliseconds time_left{0};
  /// The path and query for the target, as the caller sent them.
  std::string target;
};

/// Returns the path and query of the request to the relay.
std::string to_relay_path(const relay_parameters& parameters);
/// Returns nullopt if `path_and_query` is no valid request to a relay.
std::optional<relay_parameters> parse_relay_path(std::string_view path_and_query);

} // namespace camphorlug::gateway
