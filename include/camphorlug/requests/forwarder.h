#pragma once

#include "camphorlug/requests/call.h"
#include "camphorlug/requests/request_environment.h"
#include "camphorlug/requests/service_gate.h"

namespace camphorlug::requests {

/// Passes a request to a target and its whole answer back.
class forwarder {
public:
  forwarder(request_environment& environment, service_gate& gate, call& current);

  /// Sends the request until it is answered or given up.
  support::task<request_outcome> run(net::response_writer& writer);

  /// The answer that `run` passed on.
  const claimed_answer& answer() const { return answer_; }

private:
  enum class attempt_end { answered, retry, give_up };

  support::task<attempt_end> attempt(groups::routable_target target, std::string attempt_id,
                                     net::response_writer& writer);
  support::task<net::client_response> exchange(groups::routable_target target,
                                               std::string attempt_id);
  bool may_try_again();
  void pass_on(net::client_response response, net::response_writer& writer);

  request_environment& environment_;
  service_gate& gate_;
  call& call_;
  claimed_answer answer_;
};

} // namespace camphorlug::requests
