#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace camphorlug::support {

/// The whole text of a file; nothing when it cannot be read.
std::optional<std::string> read_text_file(const std::string& path);

/// Follows a file that others replace, with or without telling.
class file_watcher {
public:
  using action = std::function<void(const std::string& text)>;

  /// `text` is what the caller has already read; `on_change` gets each other text once.
  file_watcher(clock& time, std::string path, std::string text, action on_change);

  /// Looks at the file at each `interval`.
  task<> poll(std::chrono::milliseconds interval);

  /// Looks now. Returns whether the text had changed.
  bool check();

private:
  clock& time_;
  std::string path_;
  std::string text_;
  action on_change_;
  bool readable_ = true;
};

} // namespace camphorlug::support
