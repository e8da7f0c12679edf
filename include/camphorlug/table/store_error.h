#pragma once

#include <stdexcept>
#include <string>

namespace camphorlug::table {

/// The table service or the instance list gave no usable answer.
class store_error final : public std::runtime_error {
public:
  store_error(const std::string& reason, bool may_have_committed)
      : std::runtime_error(reason), may_have_committed_(may_have_committed) {}

  /// True when a transaction may have taken effect; read back to find out.
  bool may_have_committed() const { return may_have_committed_; }

private:
  bool may_have_committed_;
};

} // namespace camphorlug::table
