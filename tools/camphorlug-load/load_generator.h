#pragma once

#include "camphorlug/caller/reference_caller.h"
#include "camphorlug/support/random_source.h"

#include "load_plan.h"
#include "load_report.h"

#include <asio/any_io_executor.hpp>
#include <cstddef>

namespace camphorlug::load {

/// Open-loop load generator: sends a plan's requests at random times that do not depend on
/// responses.
class load_generator {
public:
  load_generator(asio::any_io_executor executor, net::http_client& client, support::clock& time,
                 load_plan plan);

  /// Runs the plan and returns when all requests have completed.
  support::task<> run();

  const load_report& report() const { return report_; }

private:
  support::task<> send_arrivals(caller_plan plan);
  support::task<> send_one(caller_plan plan, caller::caller_request request);
  caller::caller_request make_request(const caller_plan& plan);

  asio::any_io_executor executor_;
  net::http_client& client_;
  support::clock& time_;
  load_plan plan_;
  support::random_source random_;
  caller::entry_cache entries_;
  load_report report_;
  std::size_t in_progress_ = 0;
};

} // namespace camphorlug::load
