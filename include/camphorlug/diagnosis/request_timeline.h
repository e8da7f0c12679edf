#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace camphorlug::diagnosis {

/// Explains one request from the nodes' logs: its own log lines, and the events of
/// its targets and of the nodes that handled it around that time. Lines may be added
/// in any order and from any number of nodes.
class request_timeline {
public:
  explicit request_timeline(std::string request) : request_(std::move(request)) {}

  /// Adds one line of a log. A line that is not a valid log line is only counted.
  void add(const std::string& line);

  /// Whether any log line belongs to the request.
  bool found() const { return !own_.empty(); }

  /// Returns a readable explanation; each element is printed as a line of its own.
  std::vector<std::string> explanation() const;

  /// Returns the log lines that the explanation is based on, ordered by time.
  nlohmann::ordered_json lines() const;

  /// The number of lines that are not valid log lines.
  std::size_t unreadable() const { return unreadable_; }

private:
  std::vector<nlohmann::ordered_json> related() const;

  std::string request_;
  std::vector<nlohmann::ordered_json> own_;
  /// Lines of all other events, such as those of targets, groups and nodes; `related` selects
  /// from them.
  std::vector<nlohmann::ordered_json> others_;
  std::size_t unreadable_ = 0;
};

} // namespace camphorlug::diagnosis
