#include "camphorlug/groups/placement_step.h"

namespace camphorlug::groups {

const char* to_string(step_kind kind) {
  switch (kind) {
  case step_kind::form:
    return "form";
  case step_kind::replace:
    return "replace";
  case step_kind::prepare:
    return "prepare";
  case step_kind::promote:
    return "promote";
  case step_kind::drain:
    return "drain";
  case step_kind::reload:
    return "reload";
  case step_kind::dissolve:
    return "dissolve";
  }
  return "dissolve";
}

} // namespace camphorlug::groups
