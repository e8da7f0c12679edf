#pragma once

#include "open_connection.h"

#include "camphorlug/support/memory_budget.h"

#include <asio/execution_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorlug::net {

class metered_socket;

/// What one connection has received of a message that is not complete yet.
struct receive_meter {
  using time_point = std::chrono::steady_clock::time_point;

  /// `id_search_text` is the lower-case text before the message's id in its head.
  receive_meter(support::memory_budget& budget, const std::string& peer_name,
                const std::string& id_search_text)
      : limit(budget), peer(peer_name), memory(budget, peer_name), id_text(id_search_text) {}

  /// Takes the memory for the next read, or for the whole body once its length is known, so that a
  /// body that has begun can be completed. Returns false if there is none.
  bool try_reserve(std::size_t next_read);
  /// Counts bytes that have been read.
  void record(std::string_view bytes);
  /// Returns the memory of a message that is complete.
  support::memory_budget::charge take();

  /// Each connection may receive this much, so that small requests are not held up by large ones.
  static constexpr std::size_t free_bytes = 4096;

  support::memory_budget& limit;
  /// Address of the caller, for which the memory is counted.
  std::string peer;
  support::memory_budget::charge memory;
  std::string id_text;
  /// The message's id as far as its head tells it.
  std::string request_id;
  std::size_t received = 0;
  /// Length of the message as far as its head tells it.
  std::size_t announced = 0;
  bool has_received_request = false;
  time_point last_read_at;
  /// The socket while it reads, nullptr while it waits for memory.
  metered_socket* reading = nullptr;
  bool was_evicted = false;
};

/// The meters of the open connections of all servers that run on one execution context.
class receive_meters final : public asio::execution_context::service {
public:
  using key_type = receive_meters;
  inline static asio::execution_context::id id;

  explicit receive_meters(asio::execution_context& context) : service(context) {}

  /// `id_header` may be empty.
  void set_budget(support::memory_budget* budget, const std::string& id_header);

  /// Returns the meter of a new connection, nullptr if nothing counts what connections receive.
  std::shared_ptr<receive_meter> open(const asio::ip::tcp::endpoint& peer);
  /// Returns the meters of the connections that have received a part of a message.
  std::vector<std::shared_ptr<const receive_meter>> incomplete() const;
  /// Ends a connection that holds memory for a message of which it receives nothing.
  void evict_stalled();

private:
  using time_point = receive_meter::time_point;

  static constexpr std::size_t clean_up_interval = 256;
  static constexpr std::chrono::milliseconds max_stall{1000};
  static constexpr std::chrono::milliseconds eviction_interval{50};

  void shutdown() override { meters_.clear(); }

  support::memory_budget* budget_ = nullptr;
  std::string id_text_;
  std::size_t opened_ = 0;
  time_point next_eviction_at_;
  std::vector<std::weak_ptr<receive_meter>> meters_;
};

/// A socket of RESTinio's connections that stops reading while the memory for incomplete messages
/// is used up. A connection that waits in vain, or that receives nothing while others wait, is
/// refused and ends.
class metered_socket : public asio::ip::tcp::socket {
public:
  /// `connection` is nullptr if nothing counts the connections of the server, `meter` if nothing
  /// counts what they receive.
  metered_socket(asio::ip::tcp::socket accepted, std::shared_ptr<open_connection> connection,
                 std::shared_ptr<receive_meter> meter)
      : asio::ip::tcp::socket(std::move(accepted)), connection_(std::move(connection)),
        meter_(std::move(meter)) {}
  metered_socket(metered_socket&&) = default;
  metered_socket& operator=(metered_socket&&) = default;

  /// Ends the read in progress with an error.
  void evict();

  template<class Buffer, class Handler>
  void async_read_some(const Buffer& buffer, Handler handler) {
    if (!connection_) {
      read_metered(buffer, std::move(handler));
      return;
    }
    connection_->begin_read(*this);
    auto end_read = [connection = connection_, handler = std::move(handler)](
                        const asio::error_code& error, std::size_t length) mutable {
      connection->end_read(length);
      // RESTinio closes the connection after any error but a cancelled read.
      handler(connection->was_closed() ? asio::error::make_error_code(asio::error::timed_out)
                                       : error,
              length);
    };
    read_metered(buffer, std::move(end_read));
  }

  /// Answers, as far as the connection takes it at once, that no request was read from it and none
  /// will run.
  static void write_refusal(asio::ip::tcp::socket& socket);

private:
  using time_point = receive_meter::time_point;

  /// Callers wait this long for the memory that their message needs.
  static constexpr std::chrono::milliseconds max_wait{2000};
  static constexpr std::chrono::milliseconds poll_interval{20};

  template<class Buffer, class Handler>
  void read_metered(const Buffer& buffer, Handler handler) {
    if (!meter_)
      asio::ip::tcp::socket::async_read_some(buffer, std::move(handler));
    else if (meter_->try_reserve(buffer.size()))
      read_counted(buffer, std::move(handler));
    else
      read_later(buffer, std::move(handler), std::chrono::steady_clock::now() + max_wait);
  }

  static asio::error_code no_memory() { return asio::error::no_buffer_space; }

  receive_meters& meters();
  /// Answers, if it is possible, that the request was not read and will not run.
  void refuse();

  template<class Buffer, class Handler>
  void read_counted(const Buffer& buffer, Handler handler) {
    meter_->reading = this;
    meter_->last_read_at = std::chrono::steady_clock::now();
    auto count = [meter = meter_, buffer, handler = std::move(handler)](
                     const asio::error_code& error, std::size_t length) mutable {
      meter->reading = nullptr;
      meter->record({static_cast<const char*>(buffer.data()), length});
      handler(meter->was_evicted ? no_memory() : error, length);
    };
    asio::ip::tcp::socket::async_read_some(buffer, std::move(count));
  }

  /// `handler` keeps the connection and this socket alive.
  template<class Buffer, class Handler>
  void read_later(const Buffer& buffer, Handler handler, time_point until) {
    meters().evict_stalled();
    const auto timer = std::make_shared<asio::steady_timer>(get_executor(), poll_interval);
    timer->async_wait(
        [this, timer, buffer, handler = std::move(handler), until](const auto&) mutable {
          if (!is_open() || meter_->try_reserve(buffer.size())) {
            read_counted(buffer, std::move(handler));
          } else if (std::chrono::steady_clock::now() < until) {
            read_later(buffer, std::move(handler), until);
          } else {
            refuse();
            handler(no_memory(), std::size_t{0});
          }
        });
  }

  std::shared_ptr<open_connection> connection_;
  std::shared_ptr<receive_meter> meter_;
};

} // namespace camphorlug::net
