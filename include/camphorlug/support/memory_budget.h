#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>

namespace camphorlug::support {

/// Bounds the bytes that one node holds for others, and divides them fairly.
///
/// Bytes are counted for a holder: an organisation or a connection. While less than
/// `free_fraction` of the limit is used, each holder may take what it wants. Beyond that a holder
/// gets more only up to an equal share of the limit among all present holders and one to come, so
/// that what one of them holds does not keep the others from their share.
class memory_budget {
public:
  static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
  static constexpr double free_fraction = 0.5;

  /// Bytes that are held until the charge is destroyed. The budget must outlive it.
  class charge {
  public:
    charge() = default;
    charge(memory_budget& budget, std::string holder);
    ~charge() { reset(); }
    charge(charge&& other) noexcept;
    charge& operator=(charge&& other) noexcept;

    /// Takes further bytes if the budget allows it.
    bool try_add(std::size_t bytes);
    /// Takes bytes that are held already, whether or not the budget allows it.
    void add(std::size_t bytes);
    void remove(std::size_t bytes);
    /// Changes to `bytes` that are held already.
    void set(std::size_t bytes);
    /// Whether `try_add` would succeed.
    bool has_room(std::size_t bytes) const;
    void reset();
    std::size_t bytes() const { return bytes_; }

  private:
    memory_budget* budget_ = nullptr;
    std::string holder_;
    std::size_t bytes_ = 0;
  };

  explicit memory_budget(std::size_t limit = unlimited) : limit_(limit) {}
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  void change_limit(std::size_t limit) { limit_ = limit; }
  std::size_t limit() const { return limit_; }
  bool is_limited() const { return limit_ != unlimited; }
  std::size_t used() const { return used_; }
  std::size_t used_by(const std::string& holder) const;
  /// Number of times that a holder was given nothing.
  std::uint64_t denials() const { return denials_; }

  /// Whether the holder may take so many further bytes.
  bool has_room(const std::string& holder, std::size_t bytes) const;

private:
  std::size_t limit_;
  std::size_t used_ = 0;
  std::uint64_t denials_ = 0;
  std::map<std::string, std::size_t> used_by_;
};

} // namespace camphorlug::support
