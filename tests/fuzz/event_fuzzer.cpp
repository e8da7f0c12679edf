#include "camphorlug/gateway/event_splitter.h"
#include "camphorlug/net/generation_event.h"
#include "camphorlug/net/sse_reader.h"

#include "check.h"
#include "fuzzer.h"

#include <vector>

using namespace camphorlug;

template<class Parser>
static auto take_events(Parser& parser) {
  std::vector<typename decltype(parser.next())::value_type> events;
  while (auto event = parser.next())
    events.push_back(std::move(*event));
  return events;
}

/// Events are the same however the stream was cut, and no byte of it is lost. The first byte is the
/// size of a piece.
void fuzz::read_input(input_reader input) {
  const std::size_t piece = 1U + input.take_byte();
  const std::string stream = input.take_rest();

  net::sse_reader whole;
  whole.append(stream);
  const auto events = take_events(whole);
  net::sse_reader cut;
  std::vector<net::sse_event> cut_events;
  gateway::event_splitter splitter;
  std::string bytes;
  for (std::size_t begin = 0; begin < stream.size(); begin += piece) {
    const std::string part = stream.substr(begin, piece);
    cut.append(part);
    for (auto& each : take_events(cut))
      cut_events.push_back(std::move(each));
    splitter.append(part);
    for (const auto& each : take_events(splitter))
      bytes += each.bytes;
  }
  fuzz::check(events.size() == cut_events.size(), "pieces have the same events as the whole");
  for (std::size_t i = 0; i < events.size(); ++i)
    fuzz::check(events[i].id == cut_events[i].id && events[i].data == cut_events[i].data,
                "events of pieces are those of the whole");
  fuzz::check(stream.starts_with(bytes), "events have their original bytes");
  fuzz::check(bytes.size() + splitter.partial_event_size() == stream.size(), "no byte is lost");
  for (const auto& each : events)
    net::generation_event::parse(each.data);
}
