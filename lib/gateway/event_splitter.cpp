#include "camphorlug/gateway/event_splitter.h"

#include <charconv>

namespace camphorlug::gateway {

/// Of several ids the last one counts, as it does for callers.
static std::optional<std::uint64_t> parse_event_id(std::string_view event) {
  std::optional<std::uint64_t> found;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(3);
    while (line.starts_with(' '))
      line.remove_prefix(1);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    std::uint64_t id = 0;
    const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc() && rest == line.data() + line.size())
      found = id;
  }
  return found;
}

void event_splitter::append(std::string_view bytes) {
  buffer_.erase(0, begin_);
  begin_ = 0;
  buffer_ += bytes;
}

std::optional<raw_event> event_splitter::next() {
  std::size_t end = buffer_.find("\n\n", begin_);
  std::size_t length = 2;
  const std::size_t crlf_end = buffer_.find("\r\n\r\n", begin_);
  if (crlf_end < end) {
    end = crlf_end;
    length = 4;
  }
  if (end == std::string::npos)
    return std::nullopt;
  raw_event event;
  event.bytes = buffer_.substr(begin_, end + length - begin_);
  event.id = parse_event_id(event.bytes);
  begin_ = end + length;
  if (begin_ == buffer_.size()) {
    buffer_.clear();
    begin_ = 0;
  }
  return event;
}

} // namespace camphorlug::gateway
