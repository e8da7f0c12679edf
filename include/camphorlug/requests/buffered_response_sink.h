#pragma once

#include "camphorlug/net/response_writer.h"
#include "camphorlug/requests/stream_sink.h"

#include <cstddef>

namespace camphorlug::requests {

/// Collects a stream into one JSON response, for callers that did not request
/// streaming. This protects them too from stalls and lost groups.
class buffered_response_sink final : public stream_sink {
public:
  /// `chat` selects the form of a chat completion rather than a plain completion.
  buffered_response_sink(net::response_writer& writer, bool chat);

  support::task<bool> event(std::string id, std::string data, std::string text) override;
  support::task<> done() override;
  support::task<> fail(int status, request_outcome outcome, std::string type, std::string detail,
                       std::chrono::seconds retry_after) override;

private:
  net::response_writer& writer_;
  bool chat_;
  std::string text_;
  std::string last_data_;
  std::size_t tokens_ = 0;
};

} // namespace camphorlug::requests
