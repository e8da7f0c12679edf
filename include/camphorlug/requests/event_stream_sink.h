#pragma once

#include "camphorlug/net/response_writer.h"
#include "camphorlug/requests/stream_sink.h"

namespace camphorlug::requests {

/// Sends each event to the caller as it arrives, as a server-sent event.
class event_stream_sink final : public stream_sink {
public:
  explicit event_stream_sink(net::response_writer& writer);

  support::task<bool> event(std::string id, std::string data, std::string text) override;
  support::task<> done() override;
  support::task<> fail(int status, request_outcome outcome, std::string type, std::string detail,
                       std::chrono::seconds retry_after) override;

private:
  net::response_writer& writer_;
};

} // namespace camphorlug::requests
