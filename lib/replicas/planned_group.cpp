#include "camphorlug/replicas/planned_group.h"

namespace camphorlug::replicas {

const char* to_string(group_phase phase) {
  switch (phase) {
  case group_phase::forming:
    return "forming";
  case group_phase::opening:
    return "opening";
  case group_phase::serving:
    return "serving";
  case group_phase::closing:
    return "closing";
  case group_phase::dissolving:
    return "dissolving";
  }
  return "dissolving";
}

} // namespace camphorlug::replicas
