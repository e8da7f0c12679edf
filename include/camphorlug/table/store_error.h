#pragma once

#include <stdexcept>
#include <string>

namespace camphorlug::table {

/// Thrown when the table service or the instance list gave no valid response.
class store_error final : public std::runtime_error {
public:
  store_error(const std::string& reason, bool may_have_committed)
      : std::runtime_error(reason), may_have_committed_(may_have_committed) {}

  /// Whether the transaction may have been committed. Finding its rows proves that it was;
  /// their absence proves nothing, because it may still be in flight.
  bool may_have_committed() const { return may_have_committed_; }

private:
  bool may_have_committed_;
};

} // namespace camphorlug::table
