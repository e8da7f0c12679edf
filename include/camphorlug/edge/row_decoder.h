#pragma once

#include "camphorlug/gateway/routing_config.h"
#include "camphorlug/gateway/target_entry.h"

#include <memory>
#include <optional>
#include <string>

namespace camphorlug::edge {

/// Decodes the rows of the platform's tables that other systems write.
class row_decoder {
public:
  row_decoder() = default;
  row_decoder(const row_decoder&) = delete;
  row_decoder& operator=(const row_decoder&) = delete;
  virtual ~row_decoder() = default;

  /// Returns null if `text` is not a valid configuration.
  virtual std::shared_ptr<const gateway::routing_config>
  read_config(const std::string& text) const = 0;

  /// Returns nullopt if `text` does not describe a usable target.
  virtual std::optional<gateway::target_entry> read_target(const std::string& id,
                                                           const std::string& text) const = 0;
};

} // namespace camphorlug::edge
