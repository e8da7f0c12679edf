#pragma once

#include "camphorlug/net/problem.h"

#include <stdexcept>

namespace camphorlug::requests {

/// An error in the request itself, which is reported in a problem response.
class caller_error final : public std::runtime_error {
public:
  explicit caller_error(net::problem what) : std::runtime_error(what.detail), what_(what) {}

  const net::problem& problem() const { return what_; }

private:
  net::problem what_;
};

} // namespace camphorlug::requests
