#include "camphorlug/support/config_error.h"

namespace camphorlug::support {

std::string config_error::to_line() const {
  std::string text = source + ":" + std::to_string(line) + ": " + key;
  text += value.empty() ? " is missing" : " = " + value;
  return text + ": allowed is " + allowed;
}

} // namespace camphorlug::support
