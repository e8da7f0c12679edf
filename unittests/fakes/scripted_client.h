#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::fakes {

/// What comes after the pieces of a scripted answer.
enum class answer_ending {
  /// The answer is whole.
  complete,
  /// The connection is reset.
  reset,
  /// Nothing more comes.
  silence,
};

/// How a target treats one request.
struct scripted_answer {
  /// No connection is made.
  bool refused = false;
  int status = 200;
  net::header_list headers;
  std::vector<std::string> pieces;
  answer_ending end = answer_ending::complete;
  /// Time to the head of the answer.
  std::chrono::milliseconds delay{1};
  /// Time to each piece; by default the same.
  std::optional<std::chrono::milliseconds> pause;
};

/// Targets that answer as they are told, in the order of the requests to each address.
class scripted_client final : public net::http_client {
public:
  explicit scripted_client(support::clock& time) : time_(time) {}

  std::unique_ptr<net::http_exchange> open(net::client_request request) override;

  std::map<std::string, std::deque<scripted_answer>> answers;
  /// Requests that reached a target, in their order.
  std::vector<net::client_request> received;
  /// Exchanges that ended before their answer was whole.
  std::size_t aborted_exchanges = 0;

private:
  support::clock& time_;
};

} // namespace camphorlug::fakes
