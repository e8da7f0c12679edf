#include "camphorlug/net/sse_reader.h"

namespace camphorlug::net {

/// Bytes that were read are dropped from the buffer in steps of this size.
static constexpr std::size_t compaction_size = 64 * 1024;

static std::string_view value_of(std::string_view line, std::string_view field) {
  line.remove_prefix(field.size());
  if (line.starts_with(' '))
    line.remove_prefix(1);
  return line;
}

static void take_line(std::string_view line, sse_event& event) {
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  if (line.starts_with("id:"))
    event.id = value_of(line, "id:");
  if (!line.starts_with("data:"))
    return;
  if (!event.data.empty())
    event.data += '\n';
  event.data += value_of(line, "data:");
}

std::optional<sse_event> sse_reader::next() {
  for (;;) {
    const std::size_t end = buffer_.find("\n\n", begin_);
    if (end == std::string::npos)
      return std::nullopt;
    std::string_view block = std::string_view(buffer_).substr(begin_, end - begin_);
    sse_event event;
    while (!block.empty()) {
      const std::size_t line_end = block.find('\n');
      take_line(block.substr(0, line_end), event);
      block.remove_prefix(line_end == std::string_view::npos ? block.size() : line_end + 1);
    }
    begin_ = end + 2;
    if (begin_ > compaction_size) {
      buffer_.erase(0, begin_);
      begin_ = 0;
    }
    if (!event.id.empty() || !event.data.empty())
      return event;
  }
}

} // namespace camphorlug::net
