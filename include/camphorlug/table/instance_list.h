#pragma once

#include "camphorlug/support/task.h"
#include "camphorlug/table/listed_instance.h"

#include <vector>

namespace camphorlug::table {

/// The platform's list of live and leaving instances, which is eventually consistent.
class instance_list {
public:
  instance_list() = default;
  instance_list(const instance_list&) = delete;
  instance_list& operator=(const instance_list&) = delete;
  virtual ~instance_list() = default;

  /// Reads the current list. Throws store_error.
  virtual support::task<std::vector<listed_instance>> list() = 0;
};

} // namespace camphorlug::table
