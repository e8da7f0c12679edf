#pragma once

#include "camphorlug/requests/call.h"
#include "camphorlug/requests/request_environment.h"
#include "camphorlug/requests/service_state.h"

#include <optional>

namespace camphorlug::requests {

/// Forwards a request to a target and keeps the complete response for the caller.
class forwarder {
public:
  forwarder(request_environment& environment, service_state& state, call& current);

  /// Sends the request until a target responds or no further attempt is allowed.
  support::task<request_outcome> run();

  /// Sends the caller the target's response, or what became of the request if there is none.
  void send_response(net::response_writer& writer);

  /// The target's response as it is recorded; empty without one.
  recorded_response response() const;

private:
  enum class attempt_result { answered, retry };

  support::task<attempt_result> attempt(groups::routable_target target, std::string attempt_id);
  support::task<net::client_response> exchange(groups::routable_target target,
                                               std::string attempt_id);
  /// Returns whether another attempt is allowed, and consumes a retry if so.
  bool acquire_retry();
  request_outcome outcome_without_response() const;

  request_environment& environment_;
  service_state& service_state_;
  call& call_;
  std::optional<net::client_response> response_;
  /// The last 5xx response of a target to a request that may be retried.
  std::optional<net::client_response> server_error_;
};

} // namespace camphorlug::requests
