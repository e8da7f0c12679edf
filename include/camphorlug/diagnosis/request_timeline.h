#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace camphorlug::diagnosis {

/// What the logs of the nodes tell of one request: its own lines, and what the
/// nodes noted of its targets and of themselves around that time. Lines may come
/// in any order and from any number of nodes.
class request_timeline {
public:
  explicit request_timeline(std::string request) : request_(std::move(request)) {}

  /// Takes one line of a log; one that is no log line is only counted.
  void add(const std::string& line);

  /// Whether any line is about the request.
  bool found() const { return !own_.empty(); }

  /// The story in plain words, a sentence each.
  std::vector<std::string> explanation() const;

  /// The lines that the story was made of, by time.
  nlohmann::ordered_json lines() const;

  /// Lines that could not be read.
  std::size_t unreadable() const { return unreadable_; }

private:
  std::vector<nlohmann::ordered_json> related() const;

  std::string request_;
  std::vector<nlohmann::ordered_json> own_;
  /// Lines about targets, groups and what a node depends on.
  std::vector<nlohmann::ordered_json> others_;
  std::size_t unreadable_ = 0;
};

} // namespace camphorlug::diagnosis
