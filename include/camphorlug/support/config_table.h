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

/// Inclusive bounds of a whole number.
struct integer_range {
  std::int64_t lowest = 0;
  std::int64_t highest = 0;
};

/// Inclusive bounds of a time span.
struct duration_range {
  std::chrono::milliseconds lowest{0};
  std::chrono::milliseconds highest{0};
};

/// A TOML table read key by key. Faults are collected, not thrown, so that one
/// reading shows all of them; a faulty key reads as its fallback.
class config_table {
public:
  /// Parses `text`; nothing when it is not TOML.
  static std::optional<config_table> parse(std::string_view text, std::string source,
                                           config_errors& errors);
  ~config_table();
  config_table(config_table&&) noexcept;

  /// A string that must be there and not empty.
  std::string required_text(std::string_view key);
  std::string text(std::string_view key, std::string fallback);
  /// One of `allowed`; the first is the fallback.
  std::string choice(std::string_view key, const std::vector<std::string>& allowed);
  std::int64_t integer(std::string_view key, integer_range range, std::int64_t fallback);
  std::chrono::milliseconds milliseconds(std::string_view key, duration_range range,
                                         std::chrono::milliseconds fallback);
  bool flag(std::string_view key, bool fallback);
  std::vector<std::string> texts(std::string_view key);
  std::vector<std::int64_t> integers(std::string_view key, integer_range range);
  /// The table under `key`; an empty one when it is missing.
  config_table table(std::string_view key);
  /// The array of tables under `key`.
  std::vector<config_table> tables(std::string_view key);

  /// True when the table has `key`.
  bool has(std::string_view key) const;

  /// Adds a fault of the caller's own finding at `key`.
  void add_error(std::string_view key, std::string allowed);

  /// Reports each key that was not read as unknown.
  void reject_unknown_keys();

private:
  struct state;
  explicit config_table(std::unique_ptr<state> state);
  std::unique_ptr<state> state_;
};

} // namespace camphorlug::support
