#pragma once

#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/gateway/slot_scheduler.h"
#include "camphorlug/gateway/target_pool.h"
#include "camphorlug/scheduling/slot_ask.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::scheduling {

/// Path on the port for peers that receives the messages of nodes to a scheduler.
inline constexpr const char* slots_path = "/camphorlug/v1/slots";
/// Status of the response of a node that does not schedule the pool, so that the sender reports its
/// slots again once it does.
inline constexpr int not_scheduled_status = 409;

/// Numbers in messages beyond these are cut to them, so that a wrong one does no lasting harm.
inline constexpr double max_prompt_tokens = 1'000'000;
inline constexpr std::size_t max_held_slots = 100'000;

/// A message of a node to the scheduler of a pool. Fields that are unknown to the reader are
/// ignored.
struct scheduler_message {
  std::string node;
  gateway::target_pool pool;
  /// Increases with each message that the process sends about the pool; 0 if unknown. Messages may
  /// overtake each other on different connections.
  std::uint64_t sequence = 0;
  /// Targets of which the node gives back a slot each.
  std::vector<std::string> released;
  /// The number of requests that the node has at each target of the pool.
  std::optional<gateway::target_loads> held;
  /// `latest_start` is relative to the clock of the reader.
  std::optional<slot_ask> ask;

  std::string to_json(support::clock::time_point now) const;
  /// Throws nlohmann::json::exception if `text` is not a valid message.
  static scheduler_message from_json(const std::string& text, support::clock::time_point now);
};

/// The answer to a message with an ask.
std::string to_json(const gateway::scheduled_slot& answer);
/// Whether the node that gave the answer begins its answers while asks wait.
bool begins_early(const std::string& answer);
/// Throws nlohmann::json::exception if `text` is not a valid answer. Of a granted target, only the
/// id is set.
gateway::scheduled_slot answer_from_json(const std::string& text);

} // namespace camphorlug::scheduling
