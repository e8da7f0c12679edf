#pragma once

#include "camphorlug/net/problem.h"
#include "camphorlug/net/sse_reader.h"
#include "camphorlug/requests/call.h"
#include "camphorlug/requests/request_environment.h"
#include "camphorlug/requests/service_state.h"
#include "camphorlug/requests/stream_sink.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::requests {

/// Relays one stream of a model service from engines to its caller: checks that
/// each event belongs to the caller's stream and is the next one, resumes the
/// stream after a broken connection, and continues it at another group when its
/// group is lost.
class stream_relay {
public:
  stream_relay(request_environment& environment, service_state& state, call& current,
               stream_sink& sink);

  /// Relays the stream to its end, and gives the target's slot back even if an
  /// exception ends it.
  support::task<request_outcome> run();

private:
  /// How to request the next part of the stream.
  enum class fetch_mode {
    /// The request as the caller sent it.
    start,
    /// The same attempt, from the next event on.
    resume,
    /// A new attempt that continues the text sent so far.
    continue_text,
    /// A new attempt from the beginning, skipping the events sent so far.
    regenerate,
  };
  /// Result of one connection to a target.
  enum class upstream_result {
    /// The stream is complete.
    finished,
    /// The caller closed its connection.
    caller_gone,
    /// The connection failed, the target responded with an error, or an event was not
    /// the expected one.
    broken,
    /// The target did not run the request, which may be sent to another target.
    refused,
    /// The request failed for good; the caller receives `rejection_`.
    rejected
  };

  /// An attempt that another one is to continue.
  struct superseded_stream {
    std::string address;
    std::string attempt;
  };

  support::task<request_outcome> relay_until_end();
  bool acquire_target();
  bool locate_resumed_stream();
  support::task<upstream_result> relay_upstream();
  net::client_request make_request() const;
  std::string request_body() const;
  support::task<> read_rejection(net::http_exchange& exchange);
  support::task<upstream_result> read_events(net::http_exchange& exchange);
  support::task<upstream_result> handle_event(net::sse_event event);
  void record_latency();
  bool prepare_next_connection(upstream_result result);
  bool fail_over();
  void cancel_superseded();
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
  std::vector<superseded_stream> superseded_;
  /// Index of the next event to send to the caller.
  std::size_t next_index_ = 0;
  /// Index of the next event on the current connection; less than `next_index_`
  /// while regenerating.
  std::size_t upstream_index_ = 0;
  /// Text sent so far. It is complete only if this node has seen the stream from
  /// its start, which `text_known_` tells.
  std::string text_;
  bool text_known_ = true;
  /// Chained hashes of the text before `next_index_` and of the text before
  /// `upstream_index_`.
  std::uint64_t text_hash_ = 0;
  std::uint64_t upstream_hash_ = 0;
  /// Whether events from the current connection were sent to the caller.
  bool progressed_ = false;
  /// Failovers to another group since an event was last sent to the caller.
  std::size_t failovers_ = 0;
  bool finish_seen_ = false;
  /// Whether an earlier connection of this relay failed.
  bool follows_failure_ = false;
  support::clock::time_point upstream_began_;
  support::clock::time_point last_token_at_;
  net::problem rejection_;
};

} // namespace camphorlug::requests
