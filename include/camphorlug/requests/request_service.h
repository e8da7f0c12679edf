#pragma once

#include "camphorlug/groups/group_view.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/requests/call_parser.h"
#include "camphorlug/requests/request_environment.h"
#include "camphorlug/requests/service_state.h"
#include "camphorlug/routing/target_picker.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace camphorlug::requests {

/// Handles callers' requests to `/services/...`.
class request_service {
public:
  /// `accepts_work` is called for each request; if it returns false, the request
  /// is refused as not run.
  request_service(request_environment environment, const documents::document_view& documents,
                  groups::group_view& groups, const routing::target_picker& picker,
                  std::set<std::string> near_data_centres, std::function<bool()> accepts_work);

  support::task<> handle(net::server_request request, net::response_writer& writer);

  /// Periodically starts waiting requests for which a target has a free slot;
  /// runs until the clock is shut down.
  support::task<> run_dispatch_loop();

  /// Number of requests that wait for admission, over all services.
  std::size_t waiting() const;

private:
  service_state& state_for(const documents::active_document& in_force);
  support::task<request_outcome> serve(call& current, net::response_writer& writer);
  support::task<request_outcome> run(call& current, service_state& state,
                                     net::response_writer& writer);
  support::task<request_outcome> run_claimed(call& current, service_state& state,
                                             net::response_writer& writer);
  /// Records the outcome of a request with a claimed key.
  support::task<> settle_claim(claim held, request_outcome outcome, recorded_response response);
  support::task<request_outcome> relay(call& current, service_state& state,
                                       net::response_writer& writer);

  request_environment environment_;
  call_parser parser_;
  groups::group_view& groups_;
  const routing::target_picker& picker_;
  std::set<std::string> near_data_centres_;
  std::function<bool()> accepts_work_;
  std::map<std::string, std::unique_ptr<service_state>> service_states_;
};

} // namespace camphorlug::requests
