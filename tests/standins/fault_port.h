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

/// The port by which a test brings about a stand-in's faults and reads its log.
class fault_port {
public:
  /// Called when a fault begins; may end or block the process.
  using begin_function = std::function<void(const std::string& kind, std::int64_t seconds)>;

  fault_port(asio::io_context& context, support::clock& time, const std::string& address,
             std::function<std::string()> log, begin_function on_begin);

  /// Whether a fault of this kind is on.
  bool active(const std::string& kind) const;

  /// A number that came with the fault.
  std::int64_t parameter(const std::string& kind, const std::string& name,
                         std::int64_t fallback) const;

  /// Notes a connection; false when it has gone silent for good.
  bool connection_lives(std::uint64_t connection);

private:
  struct fault {
    support::clock::time_point until;
    std::map<std::string, std::int64_t> parameters;
  };

  support::task<> answer(net::server_request request, net::response_writer& writer);
  void begin(const std::string& body);

  support::clock& time_;
  std::function<std::string()> log_;
  begin_function on_begin_;
  std::map<std::string, fault> faults_;
  std::set<std::uint64_t> connections_;
  std::set<std::uint64_t> silent_;
  net::http_server server_;
};

} // namespace camphorlug::standins
