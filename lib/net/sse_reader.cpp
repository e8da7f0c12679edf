#include "camphorlug/net/sse_reader.h"

#include <utility>

namespace camphorlug::net {

/// Consumed bytes are erased from the buffer once there are more than this many.
static constexpr std::size_t compaction_threshold = 64 * 1024;

static std::string_view field_value(std::string_view line, std::string_view field) {
  line.remove_prefix(field.size());
  if (line.starts_with(' '))
    line.remove_prefix(1);
  return line;
}

static void parse_line(std::string_view line, sse_event& event) {
  if (line.starts_with("id:"))
    event.id = field_value(line, "id:");
  if (!line.starts_with("data:"))
    return;
  if (!event.data.empty())
    event.data += '\n';
  event.data += field_value(line, "data:");
}

std::optional<sse_event> sse_reader::next() {
  for (;;) {
    const std::size_t end = buffer_.find('\n', begin_);
    if (end == std::string::npos)
      return std::nullopt;
    std::string_view line = std::string_view(buffer_).substr(begin_, end - begin_);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    const bool ends_event = line.empty();
    parse_line(line, event_);
    begin_ = end + 1;
    if (begin_ > compaction_threshold) {
      buffer_.erase(0, begin_);
      begin_ = 0;
    }
    if (!ends_event)
      continue;
    sse_event event = std::exchange(event_, {});
    if (!event.id.empty() || !event.data.empty())
      return event;
  }
}

} // namespace camphorlug::net
