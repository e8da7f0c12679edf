#pragma once

#include "camphorlug/gateway/request_gateway.h"
#include "camphorlug/support/virtual_clock.h"

#include "fakes/minimal_protocol.h"
#include "fakes/recording_writer.h"
#include "fakes/scripted_client.h"

#include <asio/io_context.hpp>
#include <memory>
#include <string>

namespace camphorlug::fakes {

/// One gateway before scripted targets in virtual time. Routes `/plain/`,
/// `/once/` and `/stream/` lead to the service `shop`; `/model/` to `engines`.
struct gateway_fixture {
  gateway_fixture();
  ~gateway_fixture();

  /// Adds a plain target whose id is its address.
  void add_target(const std::string& id, std::size_t slots = 2);

  /// Sends a request to a path and returns when it has its final answer.
  std::unique_ptr<recording_writer>
  call(const std::string& path, std::chrono::milliseconds patience = std::chrono::seconds(4));
  /// Starts a request whose answer goes to `writer`.
  void begin(const std::string& path, recording_writer& writer,
             std::chrono::milliseconds patience = std::chrono::seconds(4));

  /// An answer to the next request that `target` gets.
  void answer(const std::string& target, scripted_answer script);

  asio::io_context context;
  support::virtual_clock clock{context};
  support::random_source random{1};
  scripted_client client{clock};
  minimal_protocol protocol;
  gateway::active_config config{clock};
  gateway::target_registry registry{clock};
  gateway::group_directory groups{registry, config};
  gateway::load_tracker loads{clock};
  gateway::suspicion_list suspicions{clock};
  gateway::target_chooser chooser{registry, groups, loads, suspicions, random, "here"};
  gateway::slot_queue queue{clock, chooser, loads};
  gateway::retry_limiter retries{clock, {}, [] { return std::size_t{1}; }};
  gateway::stall_detector stalls{clock};
  gateway::demand_meter demand{clock};
  gateway::gateway_metrics metrics;
  gateway::shutdown_phase phase = gateway::shutdown_phase::none;
  gateway::request_gateway gateway;
  std::size_t unfinished = 0;

private:
  support::task<> run(net::server_request request, recording_writer& writer);
  std::uint64_t versions_ = 0;
};

/// A whole answer to the request with the id that every call here has.
scripted_answer complete_answer(int status = 200);
/// A refusal by a target that did not run the request.
scripted_answer refusal();
/// A stream of events `first` to `last`.
scripted_answer events(int first, int last, answer_ending end = answer_ending::complete);

} // namespace camphorlug::fakes
