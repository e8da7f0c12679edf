#include "camphorlug/groups/row_keys.h"

namespace camphorlug::groups {

std::string pool_group_prefix(const std::string& pool) {
  return group_prefix + pool + "/";
}

std::string group_key(const std::string& pool, const std::string& group) {
  return pool_group_prefix(pool) + group;
}

std::string pool_instance_prefix(const std::string& pool) {
  return "instance/" + pool + "/";
}

std::string instance_key(const std::string& pool, const std::string& instance) {
  return pool_instance_prefix(pool) + instance;
}

} // namespace camphorlug::groups
