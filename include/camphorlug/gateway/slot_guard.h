#pragma once

#include "camphorlug/gateway/chosen_target.h"

#include <functional>
#include <utility>

namespace camphorlug::gateway {

/// A target's slot, given back on destruction.
class slot_guard {
public:
  slot_guard(chosen_target target, std::function<void(const std::string&)> give_back)
      : target_(std::move(target)), give_back_(std::move(give_back)) {}
  slot_guard(slot_guard&& other) noexcept
      : target_(std::move(other.target_)), give_back_(std::exchange(other.give_back_, nullptr)) {}
  slot_guard& operator=(slot_guard&&) = delete;
  ~slot_guard() {
    if (give_back_)
      give_back_(target_.id);
  }

  const chosen_target& target() const { return target_; }

private:
  chosen_target target_;
  std::function<void(const std::string&)> give_back_;
};

} // namespace camphorlug::gateway
