#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace camphorlug::support {

/// Returns the contents of a file, or nothing when it cannot be read.
std::optional<std::string> read_text_file(const std::string& path);

/// Detects changes of a file that other processes replace. check() is for processes that
/// signal the replacement, poll() finds the changes of those that do not.
class file_watcher {
public:
  using change_callback = std::function<void(const std::string& text)>;

  /// `text` is the contents that the caller has already read. `on_change` is called once for
  /// each change, with the new contents.
  file_watcher(clock& time, std::string path, std::string text, change_callback on_change);

  /// Checks the file at every `interval` until the clock is shut down.
  task<> poll(std::chrono::milliseconds interval);

  /// Checks the file now. Returns whether its contents changed.
  bool check();

private:
  clock& time_;
  std::string path_;
  std::string text_;
  change_callback on_change_;
  bool readable_ = true;
};

} // namespace camphorlug::support
