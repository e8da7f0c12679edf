#include "camphorlug/gateway/crash_cause_list.h"
#include "camphorlug/gateway/fleet_message.h"
#include "camphorlug/peers/peer_message.h"
#include "camphorlug/scheduling/scheduler_message.h"
#include "camphorlug/support/virtual_clock.h"

#include "fuzzer.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

using namespace camphorlug;

/// The messages of camphorlugd's nodes.
static void read_cluster_message(const std::string& text) {
  std::string again;
  try {
    again = peers::peer_message::from_json(text).to_json();
  } catch (const std::runtime_error&) {
    // The text is no message.
    return;
  }
  peers::peer_message::from_json(again);
}

/// Reads a message, and what a node would send on of it, which must be readable again.
static void read_message(std::uint8_t kind, const std::string& text) {
  asio::io_context context;
  support::virtual_clock time(context);
  switch (kind % 5) {
  case 0: {
    const auto message = gateway::fleet_message::from_json(text);
    gateway::fleet_message::from_json(message.to_json());
    break;
  }
  case 1: {
    const auto message = scheduling::scheduler_message::from_json(text, time.now());
    scheduling::scheduler_message::from_json(message.to_json(time.now()), time.now());
    break;
  }
  case 2: {
    const auto answer = scheduling::answer_from_json(text);
    scheduling::answer_from_json(scheduling::to_json(answer));
    break;
  }
  case 3: {
    gateway::crash_cause_list causes(time);
    causes.merge_json(text);
    gateway::crash_cause_list others(time);
    others.merge_json(causes.to_json());
    break;
  }
  default:
    read_cluster_message(text);
  }
}

/// The first byte selects the kind of message.
void fuzz::read_input(input_reader input) {
  const auto kind = input.take_byte();
  const std::string text = input.take_rest();
  try {
    read_message(kind, text);
  } catch (const nlohmann::json::exception&) {
    // The text is no message.
  }
}
