#include "camphorlug/support/log_output.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace camphorlug::support {

bool log_output::add(std::string_view line) {
  if (held_.size() >= write_threshold_bytes)
    flush();
  if (held_.size() + line.size() + 1 > max_held_bytes) {
    ++dropped_;
    return false;
  }
  held_ += line;
  held_ += '\n';
  return true;
}

void log_output::flush(std::chrono::milliseconds patience) {
  std::size_t written = 0;
  do {
    if (!is_writable(std::exchange(patience, std::chrono::milliseconds(0))))
      return;
    written = write_some();
    held_.erase(0, written);
  } while (written > 0 && !held_.empty());
}

std::uint64_t log_output::take_dropped() {
  return held_.size() > max_held_bytes / 2 ? 0 : std::exchange(dropped_, 0);
}

bool log_output::is_writable(std::chrono::milliseconds patience) const {
  pollfd state{descriptor_, POLLOUT, 0};
  return poll(&state, 1, static_cast<int>(patience.count())) > 0;
}

std::size_t log_output::write_some() {
  // A writable pipe takes this much without blocking. Its mode is not changed, because other
  // processes may share it.
  const std::size_t size = std::min<std::size_t>(held_.size(), PIPE_BUF);
  ssize_t written = send(descriptor_, held_.data(), size, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (written < 0 && errno == ENOTSOCK)
    written = write(descriptor_, held_.data(), size);
  if (written >= 0)
    return static_cast<std::size_t>(written);
  // Nobody will read these lines.
  const bool is_temporary = errno == EAGAIN || errno == EINTR;
  return is_temporary ? 0 : held_.size();
}

} // namespace camphorlug::support
