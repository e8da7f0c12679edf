#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorlug::net {

/// One header of a request or response.
struct header {
  std::string name;
  std::string value;
};

/// Compares two header names case-insensitively.
bool same_header_name(std::string_view left, std::string_view right);

/// Headers in the order of insertion, with case-insensitive names.
class header_list {
public:
  /// Appends a header, even if one of that name is present.
  void add(std::string name, std::string value);

  /// Returns the value of the first header called `name`.
  std::optional<std::string> find(std::string_view name) const;

  auto begin() const { return headers_.begin(); }
  auto end() const { return headers_.end(); }

private:
  std::vector<header> headers_;
};

} // namespace camphorlug::net
