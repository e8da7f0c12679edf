#include "camphorlug/replicas/formation.h"

namespace camphorlug::replicas {

const char* to_string(formation_phase phase) {
  switch (phase) {
  case formation_phase::forming:
    return "forming";
  case formation_phase::opening:
    return "opening";
  case formation_phase::serving:
    return "serving";
  case formation_phase::closing:
    return "closing";
  case formation_phase::dissolving:
    return "dissolving";
  }
  return "dissolving";
}

} // namespace camphorlug::replicas
