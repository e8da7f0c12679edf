#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorlug::net {

/// One header of a request or an answer.
struct header {
  std::string name;
  std::string value;
};

/// Whether two header names are the same: they compare without regard to case.
bool same_header_name(std::string_view left, std::string_view right);

/// Headers in their order; names compare without regard to case.
class header_list {
public:
  /// Appends a header, also when the name is there already.
  void add(std::string name, std::string value);

  /// The first value under `name`.
  std::optional<std::string> find(std::string_view name) const;

  auto begin() const { return headers_.begin(); }
  auto end() const { return headers_.end(); }

private:
  std::vector<header> headers_;
};

} // namespace camphorlug::net
