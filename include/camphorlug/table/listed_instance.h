#pragma once

#include <string>

namespace camphorlug::table {

/// The kind of process that an instance runs.
enum class instance_role {
  /// Runs a camphorlugd.
  entry,
  /// Runs a model engine.
  runner,
  /// Runs a service without a model engine (a plain service).
  plain,
};

/// One instance as the platform lists it; the entry may be stale by the list's lag.
struct listed_instance {
  std::string id;
  /// `ip:port`.
  std::string address;
  std::string data_centre;
  std::string fabric_domain;
  /// The pool of interchangeable instances that it belongs to.
  std::string pool;
  instance_role role = instance_role::runner;
  /// The platform is about to remove the instance.
  bool leaving = false;

  bool operator==(const listed_instance&) const = default;
};

} // namespace camphorlug::table
