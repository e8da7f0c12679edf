#pragma once

#include "camphorlug/net/connection_budget.h"

#include <asio/ip/tcp.hpp>
#include <optional>

namespace camphorlug::net {

/// One connection of a client to a server of this process, counted by a budget, which must outlive
/// it.
class open_connection {
public:
  /// Only connections of callers are closed when they have been idle for too long.
  open_connection(connection_budget& budget, bool is_caller);
  ~open_connection();
  open_connection(const open_connection&) = delete;
  open_connection& operator=(const open_connection&) = delete;

  /// `socket` waits for bytes until `end_read`.
  void begin_read(asio::ip::tcp::socket& socket) { reading_ = &socket; }
  /// `length` bytes of a request have arrived.
  void end_read(std::size_t length);

  /// A request has arrived completely.
  void begin_request();
  /// Its response has been written or given up.
  void end_request();

  /// Ends the read in progress, which makes the server close the connection. Returns false if a
  /// request may be arriving.
  bool close();
  bool was_closed() const { return was_closed_; }

  bool is_caller() const { return is_caller_; }
  /// Valid while the connection is idle.
  support::clock::time_point idle_since() const { return idle_since_; }

private:
  /// Adds the connection to the idle ones or removes it, as its state demands.
  void update_idle();

  connection_budget& budget_;
  const bool is_caller_;
  asio::ip::tcp::socket* reading_ = nullptr;
  std::size_t requests_ = 0;
  bool has_partial_request_ = false;
  bool was_closed_ = false;
  support::clock::time_point idle_since_;
  /// Its place among the idle connections.
  std::optional<connection_budget::connection_list::iterator> idle_place_;
};

} // namespace camphorlug::net
