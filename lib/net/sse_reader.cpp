#include "camphorlug/net/sse_reader.h"

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
  if (line.ends_with('\r'))
    line.remove_suffix(1);
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
    const std::size_t end = buffer_.find("\n\n", begin_);
    if (end == std::string::npos)
      return std::nullopt;
    std::string_view event_block = std::string_view(buffer_).substr(begin_, end - begin_);
    sse_event event;
    while (!event_block.empty()) {
      const std::size_t line_end = event_block.find('\n');
      parse_line(event_block.substr(0, line_end), event);
      event_block.remove_prefix(line_end == std::string_view::npos ? event_block.size()
                                                                   : line_end + 1);
    }
    begin_ = end + 2;
    if (begin_ > compaction_threshold) {
      buffer_.erase(0, begin_);
      begin_ = 0;
    }
    if (!event.id.empty() || !event.data.empty())
      return event;
  }
}

} // namespace camphorlug::net
