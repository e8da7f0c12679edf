#pragma once

#include "camphorlug/gateway/request_gateway.h"
#include "camphorlug/support/virtual_clock.h"

#include "fakes/known_liveness.h"
#include "fakes/minimal_protocol.h"
#include "fakes/open_trial_permits.h"
#include "fakes/recording_writer.h"
#include "fakes/scripted_client.h"

#include <asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::fakes {

/// Time from the announcement of an evacuation to the last request there.
inline constexpr std::chrono::milliseconds evacuation_time_limit{5000};

/// One gateway with scripted targets, in virtual time. The routes `/plain/`,
/// `/once/`, `/stream/`, `/cut/` and, with one attempt, `/single/` lead to the service `shop`.
struct gateway_fixture {
  /// `timeout` is the time limit of all routes.
  explicit gateway_fixture(std::chrono::milliseconds timeout = std::chrono::seconds(4));
  ~gateway_fixture();

  /// Adds a target of the service `shop` whose address equals its id.
  void add_target(const std::string& id, std::size_t slots = 2);

  /// Sends a request and returns its response when the gateway has finished the request.
  std::unique_ptr<recording_writer>
  call(const std::string& path, std::chrono::milliseconds time_limit = std::chrono::seconds(4));
  /// Starts a request whose response is written to `writer`. With `resume_after`, the caller has
  /// the events of a stream up to that one.
  void begin(const std::string& path, recording_writer& writer,
             std::chrono::milliseconds time_limit = std::chrono::seconds(4),
             std::optional<int> resume_after = std::nullopt);

  /// Queues an answer for the next request to `target` that has none yet.
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
  gateway::target_pauses pauses{clock};
  gateway::target_limits limits{clock};
  gateway::evacuation_list evacuations{clock, evacuation_time_limit};
  gateway::target_chooser chooser{registry, groups,      loads,  suspicions, pauses,
                                  limits,   evacuations, random, "here"};
  gateway::slot_queue queue{clock, chooser, loads, limits};
  gateway::retry_limiter retries{clock, {}, [] { return std::size_t{1}; }};
  gateway::stall_detector stalls{clock};
  gateway::demand_meter demand{clock};
  gateway::gateway_metrics metrics;
  gateway::usual_time_limits usual_limits{clock};
  gateway::first_part_times first_parts{clock};
  gateway::second_try_policy second_tries{{}};
  support::memory_budget memory;
  known_liveness liveness;
  gateway::notice_handler notices{registry, pauses, limits, metrics};
  gateway::crash_cause_list crash_causes{clock};
  open_trial_permits trials;
  gateway::path_monitor paths{clock};
  /// Peers that may relay requests.
  std::vector<gateway::relay_node> relays;
  gateway::target_sender sender{clock, random, client, paths, [this] { return relays; }};
  gateway::shutdown_state shutdown;
  gateway::request_gateway gateway;
  std::size_t unfinished = 0;

private:
  support::task<> run(net::server_request request, recording_writer& writer);
  std::uint64_t versions_ = 0;
};

/// A complete answer; it carries the request id that all calls of this fixture use.
scripted_answer complete_answer(int status = 200);
/// A refusal by a target that did not execute the request.
scripted_answer refusal();
/// An event stream with the ids `first` to `last`.
scripted_answer events(int first, int last, answer_ending end = answer_ending::complete);

} // namespace camphorlug::fakes
