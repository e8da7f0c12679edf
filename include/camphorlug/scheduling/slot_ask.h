#pragma once

#include "camphorlug/support/clock.h"

#include <set>
#include <string>

namespace camphorlug::scheduling {

/// A node's request for one slot of a pool.
struct slot_ask {
  /// Id of the node.
  std::string node;
  std::string data_centre;
  std::string organisation;
  /// 0 is the most urgent.
  int priority = 5;
  /// A slot by then lets the response meet its objective.
  support::clock::time_point in_time_until;
  /// A slot that becomes free later is of no use.
  support::clock::time_point latest_start;
  /// Tokens of the prompt; 0 if unknown.
  double prompt_tokens = 0;
  /// Targets that failed the request before.
  std::set<std::string> avoided;
};

} // namespace camphorlug::scheduling
