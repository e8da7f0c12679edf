#include "camphorlug/support/memory_budget.h"

#include <algorithm>
#include <utility>

namespace camphorlug::support {

std::size_t memory_budget::used_by(const std::string& holder) const {
  const auto found = used_by_.find(holder);
  return found == used_by_.end() ? 0 : found->second;
}

bool memory_budget::has_room(const std::string& holder, std::size_t bytes) const {
  if (!is_limited() || bytes == 0)
    return true;
  if (bytes > limit_ || used_ > limit_ - bytes)
    return false;
  const std::size_t own = used_by(holder);
  if (static_cast<double>(used_ + bytes) <= static_cast<double>(limit_) * free_fraction)
    return true;
  const std::size_t holders = used_by_.size() + (own == 0 ? 1 : 0);
  return own + bytes <= limit_ / (holders + 1);
}

memory_budget::charge::charge(memory_budget& budget, std::string holder)
    : budget_(&budget), holder_(std::move(holder)) {}

memory_budget::charge::charge(charge&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)), holder_(std::move(other.holder_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

memory_budget::charge& memory_budget::charge::operator=(charge&& other) noexcept {
  if (this == &other)
    return *this;
  reset();
  budget_ = std::exchange(other.budget_, nullptr);
  holder_ = std::move(other.holder_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool memory_budget::charge::try_add(std::size_t bytes) {
  if (!budget_)
    return true;
  if (!budget_->has_room(holder_, bytes)) {
    ++budget_->denials_;
    return false;
  }
  add(bytes);
  return true;
}

void memory_budget::charge::add(std::size_t bytes) {
  if (!budget_ || bytes == 0)
    return;
  bytes_ += bytes;
  budget_->used_ += bytes;
  budget_->used_by_[holder_] += bytes;
}

void memory_budget::charge::remove(std::size_t bytes) {
  if (!budget_)
    return;
  const std::size_t removed = std::min(bytes, bytes_);
  if (removed == 0)
    return;
  bytes_ -= removed;
  budget_->used_ -= removed;
  const auto held = budget_->used_by_.find(holder_);
  held->second -= removed;
  if (held->second == 0)
    budget_->used_by_.erase(held);
}

void memory_budget::charge::set(std::size_t bytes) {
  if (bytes > bytes_)
    add(bytes - bytes_);
  else
    remove(bytes_ - bytes);
}

bool memory_budget::charge::has_room(std::size_t bytes) const {
  return !budget_ || budget_->has_room(holder_, bytes);
}

void memory_budget::charge::reset() {
  remove(bytes_);
}

} // namespace camphorlug::support
