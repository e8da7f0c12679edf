#include "fakes/recording_writer.h"

#include "camphorlug/net/sse_reader.h"

#include <nlohmann/json.hpp>

namespace camphorlug::fakes {

void recording_writer::send(int code, net::header_list fields, std::string full_body) {
  status = code;
  headers = std::move(fields);
  body = std::move(full_body);
  finished = true;
  // Like the real writer, drops the callback when the request has ended.
  disconnect_action_ = nullptr;
}

void recording_writer::start(int code, net::header_list fields) {
  status = code;
  headers = std::move(fields);
}

support::task<bool> recording_writer::written() {
  if (reading)
    co_await reading();
  co_return finished;
}

support::task<bool> recording_writer::write(std::string piece) {
  if (reading)
    co_await reading();
  if (pieces_ >= pieces_until_disconnect)
    co_return false;
  ++pieces_;
  body += piece;
  co_return true;
}

static std::vector<net::sse_event> events_of(const std::string& body) {
  net::sse_reader reader;
  reader.append(body);
  std::vector<net::sse_event> events;
  while (auto event = reader.next())
    events.push_back(std::move(*event));
  return events;
}

std::string recording_writer::text() const {
  std::string text;
  for (const net::sse_event& event : events_of(body)) {
    const auto value = nlohmann::json::parse(event.data, nullptr, false);
    if (value.is_object() && value.contains("choices"))
      text += value["choices"][0]["delta"].value("content", "");
  }
  return text;
}

std::string recording_writer::last_id() const {
  std::string id;
  for (const net::sse_event& event : events_of(body)) {
    if (!event.id.empty())
      id = event.id;
  }
  return id;
}

} // namespace camphorlug::fakes
