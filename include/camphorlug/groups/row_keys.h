#pragma once

#include <string>

namespace camphorlug::groups {

/// Key prefix of all group rows, of every pool.
inline constexpr const char* group_prefix = "group/";

std::string pool_group_prefix(const std::string& pool);
std::string group_key(const std::string& pool, const std::string& group);
std::string pool_instance_prefix(const std::string& pool);
std::string instance_key(const std::string& pool, const std::string& instance);

} // namespace camphorlug::groups
