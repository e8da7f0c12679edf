#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorlug::net {

/// Listens on an address and accepts connections until it is closed. After an error, for example
/// because the process has no descriptor left, it pauses and goes on.
///
/// RESTinio's own acceptor is not used because it drops an accept operation that fails.
class connection_acceptor : public std::enable_shared_from_this<connection_acceptor> {
public:
  using connection_handler = std::function<void(asio::ip::tcp::socket)>;

  connection_acceptor(asio::io_context& context, connection_handler handler)
      : context_(context), acceptor_(context), handler_(std::move(handler)) {}

  /// Throws std::system_error.
  void listen(const asio::ip::tcp::endpoint& address);
  void close();

  /// Returns the number of accept operations that have failed.
  std::uint64_t errors() const { return errors_; }

private:
  /// Several connections can be accepted in one turn of the event loop.
  static constexpr std::size_t concurrent_accepts = 8;
  static constexpr std::chrono::milliseconds retry_delay{50};

  void accept_next();
  void finish_accept(const asio::error_code& error, asio::ip::tcp::socket socket);
  void retry_later();
  void note_error(const asio::error_code& error);
  void note_success();

  asio::io_context& context_;
  asio::ip::tcp::acceptor acceptor_;
  connection_handler handler_;
  std::string address_;
  std::uint64_t errors_ = 0;
  /// Value of `errors_` before the errors that have not been followed by a success.
  std::uint64_t errors_before_failure_ = 0;
  bool is_failing_ = false;
};

} // namespace camphorlug::net
