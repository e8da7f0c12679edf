#pragma once

#include "camphorlug/gateway/chosen_target.h"

#include <functional>
#include <utility>

namespace camphorlug::gateway {

/// RAII guard that owns a slot of a target and releases it on destruction.
class slot_guard {
public:
  slot_guard(chosen_target target, std::function<void(const std::string&)> release)
      : target_(std::move(target)), release_(std::move(release)) {}
  slot_guard(slot_guard&& other) noexcept
      : target_(std::move(other.target_)), release_(std::exchange(other.release_, nullptr)) {}
  slot_guard& operator=(slot_guard&&) = delete;
  ~slot_guard() {
    if (release_)
      release_(target_.id);
  }

  const chosen_target& target() const { return target_; }

private:
  chosen_target target_;
  std::function<void(const std::string&)> release_;
};

} // namespace camphorlug::gateway
