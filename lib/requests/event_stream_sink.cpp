#include "camphorlug/requests/event_stream_sink.h"

#include "camphorlug/requests/outcome_response.h"

#include <nlohmann/json.hpp>

namespace camphorlug::requests {

event_stream_sink::event_stream_sink(net::response_writer& writer) : writer_(writer) {}

support::task<bool> event_stream_sink::event(std::string id, std::string data, std::string) {
  if (!writer_.started()) {
    net::header_list headers;
    headers.add("Content-Type", "text/event-stream");
    headers.add("Cache-Control", "no-store");
    writer_.start(200, std::move(headers));
  }
  co_return co_await writer_.write("id: " + id + "\ndata: " + data + "\n\n");
}

support::task<> event_stream_sink::done() {
  co_await writer_.write("data: [DONE]\n\n");
  writer_.finish();
}

support::task<> event_stream_sink::fail(int status, request_outcome outcome, std::string type,
                                        std::string detail, std::chrono::seconds retry_after) {
  if (!writer_.started()) {
    send_outcome(writer_, status, outcome, std::move(type), std::move(detail), retry_after);
    co_return;
  }
  const nlohmann::json error{
      {"error", {{"type", type}, {"message", detail}, {"outcome", to_string(outcome)}}}};
  co_await writer_.write("event: error\ndata: " + error.dump() + "\n\n");
  writer_.finish();
}

} // namespace camphorlug::requests
