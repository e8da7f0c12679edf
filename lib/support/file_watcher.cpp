#include "camphorlug/support/file_watcher.h"

#include "camphorlug/support/log.h"

#include <fstream>
#include <sstream>

namespace camphorlug::support {

std::optional<std::string> read_text_file(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return std::nullopt;
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

file_watcher::file_watcher(clock& time, std::string path, std::string text,
                           change_callback on_change)
    : time_(time), path_(std::move(path)), text_(std::move(text)),
      on_change_(std::move(on_change)) {}

task<> file_watcher::poll(std::chrono::milliseconds interval) {
  for (;;) {
    co_await time_.sleep_for(interval);
    check();
  }
}

bool file_watcher::check() {
  std::optional<std::string> text = read_text_file(path_);
  if (readable_ && !text)
    log_event(log_level::warning, "file_unreadable",
              {{"path", path_}, {"outcome", "the previous contents stay in effect"}});
  readable_ = text.has_value();
  if (!text || *text == text_)
    return false;
  text_ = std::move(*text);
  on_change_(text_);
  return true;
}

} // namespace camphorlug::support
