#include "camphorlug/requests/request_outcome.h"

namespace camphorlug::requests {

const char* to_string(request_outcome outcome) {
  switch (outcome) {
  case request_outcome::answered:
    return "answered";
  case request_outcome::not_run:
    return "not-run";
  case request_outcome::unknown:
    return "unknown";
  case request_outcome::rejected:
    return "rejected";
  case request_outcome::abandoned:
    return "abandoned";
  }
  return "unknown";
}

} // namespace camphorlug::requests
