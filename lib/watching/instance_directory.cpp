#include "camphorlug/watching/instance_directory.h"

namespace camphorlug::watching {

void instance_directory::update(const std::vector<table::listed_instance>& list,
                                support::clock::time_point read_at) {
  instances_.clear();
  for (const table::listed_instance& each : list)
    instances_.emplace(each.id, each);
  read_at_ = read_at;
  was_read_ = true;
}

void instance_directory::adopt(const std::vector<table::listed_instance>& list) {
  if (was_read_)
    return;
  for (const table::listed_instance& each : list)
    instances_.insert_or_assign(each.id, each);
}

const table::listed_instance* instance_directory::find(const std::string& id) const {
  const auto found = instances_.find(id);
  return found == instances_.end() ? nullptr : &found->second;
}

} // namespace camphorlug::watching
