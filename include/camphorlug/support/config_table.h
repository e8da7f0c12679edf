#pragma once

#include "camphorlug/support/config_error.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorlug::support {

/// Inclusive bounds of an integer.
struct integer_range {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// Inclusive bounds of a duration.
struct duration_range {
  std::chrono::milliseconds min{0};
  std::chrono::milliseconds max{0};
};

/// Typed access to the keys of a TOML table. Errors are collected, not thrown, so that one
/// pass reports all of them. A missing or invalid value yields the fallback.
class config_table {
public:
  /// Parses `text`. Returns nothing when it is not valid TOML.
  static std::optional<config_table> parse(std::string_view text, std::string source,
                                           config_errors& errors);
  ~config_table();
  config_table(config_table&&) noexcept;

  /// Reads a string that must be present and not empty.
  std::string required_text(std::string_view key);
  std::string text(std::string_view key, std::string fallback);
  /// Reads one of `allowed`, whose first entry is the fallback.
  std::string choice(std::string_view key, const std::vector<std::string>& allowed);
  std::int64_t integer(std::string_view key, integer_range range, std::int64_t fallback);
  std::chrono::milliseconds milliseconds(std::string_view key, duration_range range,
                                         std::chrono::milliseconds fallback);
  bool flag(std::string_view key, bool fallback);
  std::vector<std::string> texts(std::string_view key);
  std::vector<std::int64_t> integers(std::string_view key, integer_range range);
  /// Returns the table under `key`, or an empty one when it is missing.
  config_table table(std::string_view key);
  /// Returns the tables of the array under `key`.
  std::vector<config_table> tables(std::string_view key);

  /// Returns true when the table has `key`.
  bool has(std::string_view key) const;

  /// Records an error that the caller found in the value of `key`.
  void add_error(std::string_view key, std::string allowed);

  /// Records an error for each key that no accessor has read.
  void reject_unknown_keys();

private:
  struct state;
  explicit config_table(std::unique_ptr<state> state);
  std::unique_ptr<state> state_;
};

} // namespace camphorlug::support
