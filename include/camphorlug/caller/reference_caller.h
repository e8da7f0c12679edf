#pragma once

#include "camphorlug/caller/entry_cache.h"
#include "camphorlug/net/http_client.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace camphorlug::caller {

/// A request as a caller thinks of it.
struct caller_request {
  std::string method = "POST";
  /// `/services/{service}/...`
  std::string target;
  std::string body;
  std::string key;
  std::string class_name;
  std::string idempotency_key;
  bool idempotent = true;
  /// The answer is a stream of events.
  bool stream = false;
  std::chrono::milliseconds patience{30'000};
};

/// How a request ended for its caller.
struct caller_result {
  int status = 0;
  /// The word of `Camphorlug-Outcome`; empty for a target's own answer.
  std::string outcome;
  /// The answer's body, or the text of a stream.
  std::string body;
  /// What the node said in place of an answer.
  std::string problem;
  /// A stream came to its end mark.
  bool complete = false;
  std::size_t tokens = 0;
  std::size_t attempts = 0;
  std::chrono::seconds retry_after{0};
  std::chrono::nanoseconds first_token{0};
  std::vector<std::chrono::nanoseconds> token_gaps;
  std::chrono::nanoseconds total{0};
};

/// A caller that does what docs/INTERFACE.md advises: keeps the entries'
/// answer, moves to another node when one fails, and takes streams up again
/// with Last-Event-ID. It never repeats a request that must run at most once,
/// unless it is known not to have run.
class reference_caller {
public:
  /// Called with the text of each event as it comes.
  using text_listener = std::function<void(const std::string&)>;

  reference_caller(net::http_client& client, support::clock& time, entry_cache& entries);

  support::task<caller_result> send(caller_request request, text_listener on_text = {});

private:
  enum class attempt_result { finished, try_again, give_up };
  struct progress;

  support::task<attempt_result> attempt_once(const caller_request& request, progress& state);
  support::task<attempt_result> read_stream(net::http_exchange& exchange,
                                            const caller_request& request, progress& state);
  net::client_request make_request(const caller_request& request, const progress& state) const;

  net::http_client& client_;
  support::clock& time_;
  entry_cache& entries_;
};

} // namespace camphorlug::caller
