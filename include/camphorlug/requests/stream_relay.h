#pragma once

#include "camphorlug/net/problem.h"
#include "camphorlug/net/sse_reader.h"
#include "camphorlug/requests/call.h"
#include "camphorlug/requests/request_environment.h"
#include "camphorlug/requests/service_state.h"
#include "camphorlug/requests/stream_sink.h"

#include <cstdint>
#include <string>

namespace camphorlug::requests {

/// Carries one stream of a model service from engines to its caller: checks
/// that each event is the caller's own and the next one, resumes the stream
/// after a broken connection, and continues it at another group when its
/// group is lost.
class stream_relay {
public:
  stream_relay(request_environment& environment, service_state& state, call& current,
               stream_sink& sink);

  support::task<request_outcome> run();

private:
  /// How to ask for the next part of the stream.
  enum class fetch_mode {
    /// The request as the caller sent it.
    start,
    /// The same attempt from the next event on.
    resume,
    /// Another attempt, from the text that was sent.
    continue_text,
    /// Another attempt from the beginning, passing over what was sent.
    regenerate,
  };
  enum class upstream_result { finished, caller_gone, broken, refused, rejected };

  bool acquire_target();
  bool locate_resumed_stream();
  support::task<upstream_result> relay_upstream();
  net::client_request make_request() const;
  std::string request_body() const;
  support::task<> read_rejection(net::http_exchange& exchange);
  support::task<upstream_result> read_events(net::http_exchange& exchange);
  support::task<upstream_result> handle_event(net::sse_event event);
  void record_latency();
  bool choose_next_fetch_mode(upstream_result end);
  bool fail_over();
  void cancel_at_target();
  void release_target();
  support::task<request_outcome> give_up();

  request_environment& environment_;
  service_state& service_state_;
  call& call_;
  stream_sink& sink_;
  fetch_mode fetch_mode_ = fetch_mode::start;
  groups::routable_target target_;
  bool has_target_ = false;
  std::string attempt_;
  /// Index of the next event that the caller needs.
  std::size_t next_index_ = 0;
  /// Index of the next event of the present leg, which is smaller while regenerating.
  std::size_t upstream_index_ = 0;
  /// All text that was sent; only known where this node sent it from the start.
  std::string text_;
  bool text_known_ = true;
  /// Chained hash of the text up to `next_index_`, and of the present leg.
  std::uint64_t text_hash_ = 0;
  std::uint64_t upstream_hash_ = 0;
  /// Events were passed on since the last broken connection.
  bool progressed_ = false;
  /// Moves to another group since an event was last passed on.
  std::size_t failovers_ = 0;
  bool finish_seen_ = false;
  support::clock::time_point upstream_began_;
  support::clock::time_point last_token_at_;
  net::problem rejection_;
};

} // namespace camphorlug::requests
