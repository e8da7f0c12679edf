#pragma once

#include "camphorlug/net/http_server.h"
#include "camphorlug/support/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace camphorlug::standins {

/// HTTP server through which a test injects faults into a stand-in and reads its log.
class fault_injector {
public:
  /// Called when a fault is injected; may exit or block the process.
  using fault_callback = std::function<void(const std::string& kind, std::int64_t seconds)>;

  fault_injector(asio::io_context& context, support::clock& time, const std::string& address,
                 std::function<std::string()> log, fault_callback on_fault);

  /// Returns whether a fault of this kind is active.
  bool active(const std::string& kind) const;

  /// Returns a numeric parameter of the fault, or `fallback` if it has none of this name.
  std::int64_t parameter(const std::string& kind, const std::string& name,
                         std::int64_t fallback) const;

  /// Records a connection. Returns false if a "silent" fault was injected after the connection
  /// was first recorded; it never responds again.
  bool is_responsive(std::uint64_t connection);

private:
  struct fault {
    support::clock::time_point until;
    std::map<std::string, std::int64_t> parameters;
  };

  support::task<> handle_request(net::server_request request, net::response_writer& writer);
  void inject(const std::string& body);

  support::clock& clock_;
  std::function<std::string()> log_;
  fault_callback on_fault_;
  std::map<std::string, fault> faults_;
  std::set<std::uint64_t> connections_;
  std::set<std::uint64_t> silent_connections_;
  net::http_server server_;
};

} // namespace camphorlug::standins
