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

/// How a scripted answer ends after its last piece.
enum class answer_ending {
  /// The answer ends normally.
  complete,
  /// The connection is reset.
  reset,
  /// The connection stays open, but no more data arrives.
  silence,
  /// The rest of the answer cannot be read.
  unreadable,
};

/// How a target responds to one request.
struct scripted_answer {
  /// The connection is refused.
  bool refused = false;
  /// Time until the connection is established; the request is sent then.
  std::chrono::milliseconds connect_delay{0};
  int status = 200;
  net::header_list headers;
  /// How the head says that the end of the answer is marked.
  net::body_framing framing = net::body_framing::chunks;
  std::vector<std::string> pieces;
  answer_ending end = answer_ending::complete;
  /// Time until the response head arrives.
  std::chrono::milliseconds delay{1};
  /// Time until each piece arrives; `delay` if not set.
  std::optional<std::chrono::milliseconds> pause;
  /// Additional time before the piece with the given index arrives.
  std::map<std::size_t, std::chrono::milliseconds> silences;
};

/// A client whose targets return scripted answers. Each address uses its answers in the order of
/// its requests and refuses connections when none is left.
class scripted_client final : public net::http_client {
public:
  explicit scripted_client(support::clock& time) : time_(time) {}

  std::unique_ptr<net::http_exchange> open(net::client_request request) override;

  std::map<std::string, std::deque<scripted_answer>> answers;
  /// Requests that reached a target, in order of arrival.
  std::vector<net::client_request> received;
  /// Number of exchanges that were destroyed before their answer was complete.
  std::size_t aborted_exchanges = 0;

private:
  support::clock& time_;
};

} // namespace camphorlug::fakes
