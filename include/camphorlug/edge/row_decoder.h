#pragma once

#include "camphorlug/gateway/routing_config.h"
#include "camphorlug/gateway/target_entry.h"

#include <memory>
#include <optional>
#include <string>

namespace camphorlug::edge {

/// Reads the rows that others write into the platform's tables.
class row_decoder {
public:
  row_decoder() = default;
  row_decoder(const row_decoder&) = delete;
  row_decoder& operator=(const row_decoder&) = delete;
  virtual ~row_decoder() = default;

  /// Null when `text` is not a configuration.
  virtual std::shared_ptr<const gateway::routing_config>
  read_config(const std::string& text) const = 0;

  /// Nothing when `text` names no target to use.
  virtual std::optional<gateway::target_entry> read_target(const std::string& id,
                                                           const std::string& text) const = 0;
};

} // namespace camphorlug::edge
