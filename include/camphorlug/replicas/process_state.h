#pragma once

namespace camphorlug::replicas {

/// What a question shows of the process that it is about.
enum class process_state {
  /// It has answered.
  running,
  /// Another process has answered, the process has cut off its work, or nothing shows that it runs.
  ended,
  /// Its port is closed. It has ended, or it shuts down and accepts no connections any more.
  refusing,
};

} // namespace camphorlug::replicas
