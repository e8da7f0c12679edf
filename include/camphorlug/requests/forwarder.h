#pragma once

#include "camphorlug/requests/call.h"
#include "camphorlug/requests/request_environment.h"
#include "camphorlug/requests/service_state.h"

#include <optional>

namespace camphorlug::requests {

/// Forwards a request to a target and returns the complete response to the caller.
class forwarder {
public:
  forwarder(request_environment& environment, service_state& state, call& current);

  /// Sends the request until a target responds or no further attempt is allowed.
  support::task<request_outcome> run(net::response_writer& writer);

  /// The response that `run` sent to the caller.
  const recorded_response& response() const { return response_; }

private:
  enum class attempt_result { answered, retry };

  support::task<attempt_result> attempt(groups::routable_target target, std::string attempt_id,
                                        net::response_writer& writer);
  support::task<net::client_response> exchange(groups::routable_target target,
                                               std::string attempt_id);
  /// Returns whether another attempt is allowed, and consumes a retry if so.
  bool acquire_retry();
  void send_response(net::client_response response, net::response_writer& writer);

  request_environment& environment_;
  service_state& service_state_;
  call& call_;
  recorded_response response_;
  /// The last 5xx response of a target to a request that may be retried.
  std::optional<net::client_response> server_error_;
};

} // namespace camphorlug::requests
