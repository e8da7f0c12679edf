#pragma once

#include "camphorlug/table/instance_list.h"
#include "camphorlug/targets/target_client.h"

#include "fakes/fake_engine.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::fakes {

/// All fake targets and the platform's list of instances.
class fake_fleet {
public:
  explicit fake_fleet(support::clock& time) : time_(time) {}

  /// Adds a running instance that is in the platform's list.
  fake_engine& add(table::listed_instance instance);

  fake_engine& engine(const std::string& id) { return engines_.at(id); }
  std::map<std::string, fake_engine>& engines() { return engines_; }
  std::map<std::string, table::listed_instance>& listed() { return listed_; }

  fake_engine* at_address(const std::string& address);
  support::clock& time() { return time_; }

  /// Marks the engine ready if it belongs to a group and its load time has passed.
  void refresh(fake_engine& engine) const;

private:
  support::clock& time_;
  std::map<std::string, fake_engine> engines_;
  std::map<std::string, table::listed_instance> listed_;
};

/// One node's client for the targets of the fleet.
class fake_target_client final : public targets::target_client {
public:
  explicit fake_target_client(fake_fleet& fleet) : fleet_(fleet) {}

  support::task<targets::instance_report> report(std::string address,
                                                 std::chrono::nanoseconds timeout) override;
  support::task<bool> healthy(std::string address, std::chrono::nanoseconds timeout) override;
  support::task<targets::order_result> order(std::string address, targets::instance_order what,
                                             std::chrono::nanoseconds timeout,
                                             std::function<bool()> still_allowed) override;
  std::unique_ptr<net::http_exchange> open(net::client_request request) override;

  /// Addresses that this node cannot reach: reports, probes and orders time out, other requests
  /// are refused.
  std::set<std::string> unreachable;
  /// Number of next orders that end with an exception that the interface does not name.
  std::size_t order_exceptions = 0;
  /// Network delay of orders.
  std::chrono::nanoseconds order_delay{0};

private:
  support::task<fake_engine*> connect(std::string address, std::chrono::nanoseconds timeout);

  fake_fleet& fleet_;
};

/// The platform's instance list, read from the fleet.
class fake_instance_list final : public table::instance_list {
public:
  explicit fake_instance_list(fake_fleet& fleet) : fleet_(fleet) {}
  support::task<std::vector<table::listed_instance>> list() override;

  bool down = false;

private:
  fake_fleet& fleet_;
};

} // namespace camphorlug::fakes
