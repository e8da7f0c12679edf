#include "connection_acceptor.h"

#include "camphorlug/support/log.h"

#include <utility>

namespace camphorlug::net {

void connection_acceptor::listen(const asio::ip::tcp::endpoint& address) {
  address_ = address.address().to_string() + ":" + std::to_string(address.port());
  acceptor_.open(address.protocol());
  acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen();
  for (std::size_t index = 0; index < concurrent_accepts; ++index)
    accept_next();
}

void connection_acceptor::close() {
  asio::error_code ignored;
  acceptor_.close(ignored);
}

void connection_acceptor::accept_next() {
  acceptor_.async_accept(
      [self = shared_from_this()](const asio::error_code& error, asio::ip::tcp::socket socket) {
        self->finish_accept(error, std::move(socket));
      });
}

void connection_acceptor::finish_accept(const asio::error_code& error,
                                        asio::ip::tcp::socket socket) {
  if (!acceptor_.is_open())
    return;
  if (error) {
    note_error(error);
    retry_later();
    return;
  }
  note_success();
  // Before the handler, which may throw.
  accept_next();
  handler_(std::move(socket));
}

void connection_acceptor::retry_later() {
  const auto timer = std::make_shared<asio::steady_timer>(context_, retry_delay);
  timer->async_wait([self = shared_from_this(), timer](const asio::error_code&) {
    if (self->acceptor_.is_open())
      self->accept_next();
  });
}

void connection_acceptor::note_error(const asio::error_code& error) {
  if (!std::exchange(is_failing_, true)) {
    errors_before_failure_ = errors_;
    support::log_event(support::log_level::error, "accept_failed",
                       {{"address", address_}, {"error", error.message()}});
  }
  ++errors_;
}

void connection_acceptor::note_success() {
  if (std::exchange(is_failing_, false))
    support::log_event(
        support::log_level::warning, "accept_resumed",
        {{"address", address_}, {"errors", std::to_string(errors_ - errors_before_failure_)}});
}

} // namespace camphorlug::net
