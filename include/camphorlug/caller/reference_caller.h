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

/// A request as a caller specifies it, independent of the node that receives it.
struct caller_request {
  std::string method = "POST";
  /// `/services/{service}/...`
  std::string target;
  std::string body;
  std::string key;
  std::string class_name;
  std::string idempotency_key;
  bool idempotent = true;
  /// Whether the response is an event stream.
  bool stream = false;
  /// Time after which no new attempt starts. Also limits the wait for the head of each attempt,
  /// and each wait for more data of a body that is not a stream.
  std::chrono::milliseconds timeout{30'000};
};

/// The final result of a request, over all its attempts.
struct caller_result {
  int status = 0;
  /// The value of `Camphorlug-Outcome`; empty if the response is a target's own.
  std::string outcome;
  /// The target's response body, or the concatenated text of a stream.
  std::string body;
  /// The response body that a node sent in place of a target's response.
  std::string problem;
  /// Whether the result is complete: a stream reached its end-of-stream event, or a plain
  /// response had status 200.
  bool complete = false;
  std::size_t tokens = 0;
  std::size_t attempts = 0;
  std::chrono::seconds retry_after{0};
  std::chrono::nanoseconds first_token{0};
  std::vector<std::chrono::nanoseconds> token_gaps;
  std::chrono::nanoseconds total{0};
};

/// A client that follows the recommendations of docs/INTERFACE.md: it caches the
/// entry list, fails over to another node, and resumes streams with Last-Event-ID.
/// It retries a request that must run at most once only if that request is known
/// not to have run.
class reference_caller {
public:
  /// Called with the text of each event as it arrives.
  using text_listener = std::function<void(const std::string&)>;

  reference_caller(net::http_client& client, support::clock& time, entry_cache& entries);

  support::task<caller_result> send(caller_request request, text_listener on_text = {});

private:
  enum class attempt_result { finished, retry, give_up };
  struct request_state;

  support::task<attempt_result> attempt_once(const caller_request& request, request_state& state);
  support::task<attempt_result> read_stream(net::http_exchange& exchange,
                                            const caller_request& request, request_state& state);
  net::client_request make_request(const caller_request& request, const request_state& state) const;

  net::http_client& client_;
  support::clock& time_;
  entry_cache& entries_;
};

} // namespace camphorlug::caller
