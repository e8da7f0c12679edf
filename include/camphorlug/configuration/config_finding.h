#pragma once

#include <string>
#include <vector>

namespace camphorlug::configuration {

/// How far a finding stands in the way of a configuration.
enum class finding_severity {
  /// Nodes cannot act as the configuration asks.
  error,
  /// Nodes accept it, but part of it has no effect or may not be what was meant.
  warning,
};

/// Something that an operator should know before a configuration is sent.
struct config_finding {
  finding_severity severity = finding_severity::warning;
  /// The entry, such as `route chat` or `service assistant`.
  std::string entry;
  std::string message;
};

using config_findings = std::vector<config_finding>;

} // namespace camphorlug::configuration
