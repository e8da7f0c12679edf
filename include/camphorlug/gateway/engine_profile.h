#pragma once

#include "camphorlug/gateway/model_profile.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace camphorlug::gateway {

/// Capacity and load limits of a service's model engines.
struct engine_profile {
  /// Number of requests that one group runs concurrently.
  std::size_t batch_slots = 1;
  /// Maximum rate at which loads from the weight store may start.
  double loads_per_second = 1;
  /// Number of concurrent loads beyond which each load takes longer.
  std::size_t concurrent_loads = 1;
  /// Prompt tokens that a group of a model without time factor reads a second; 0 if unknown.
  double reading_tokens_per_second = 0;
  std::vector<model_profile> models;

  /// Prompt tokens that a group of the model reads a second; 0 if unknown.
  double reading_rate(const std::string& model) const;

  /// Slot time that a group of the model spends on reading a prompt: it reads one prompt at a time,
  /// and all of its slots wait meanwhile. 0 if the reading rate is unknown.
  std::chrono::nanoseconds reading_slot_time(const std::string& model, double prompt_tokens) const;

  /// Returns the model with that name, or null.
  const model_profile* find(const std::string& model) const;
};

} // namespace camphorlug::gateway
