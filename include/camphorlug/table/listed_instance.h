#pragma once

#include <string>

namespace camphorlug::table {

/// What an instance is there for.
enum class instance_role {
  /// Runs a camphorlugd.
  entry,
  /// Runs a model engine.
  runner,
  /// Runs a plain service.
  plain,
};

/// One instance as the platform lists it, late by the list's lag.
struct listed_instance {
  std::string id;
  /// `ip:port`.
  std::string address;
  std::string data_centre;
  std::string fabric_domain;
  /// The set of interchangeable instances that it belongs to.
  std::string pool;
  instance_role role = instance_role::runner;
  /// It will be taken away soon.
  bool leaving = false;

  bool operator==(const listed_instance&) const = default;
};

} // namespace camphorlug::table
