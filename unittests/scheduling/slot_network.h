#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/notification.h"
#include "camphorlug/support/random_source.h"

#include "fakes/suspendable_clock.h"

#include <algorithm>
#include <asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace camphorlug::scheduling {

/// The connections between nodes, with delays, cuts and losses. A message or an answer that is lost
/// never arrives, and the connection stays open.
struct slot_network {
  struct server {
    std::function<support::task<>(net::server_request, net::response_writer&)> handle;
    fakes::suspendable_clock* clock = nullptr;
  };

  /// A request and what the caller has received of its answer.
  struct call {
    explicit call(support::clock& caller) : changed(caller) {}
    int status = 0;
    std::string body;
    bool is_complete = false;
    bool is_reset = false;
    /// The caller has closed the connection.
    bool is_closed = false;
    bool is_answer_lost = false;
    support::clock::time_point last_arrival{};
    support::notification changed;
    std::function<void()> on_close;
  };

  bool passes(const std::string& from, const std::string& to) const {
    return !cuts.contains({from, to}) && !cuts.contains({to, from}) && !isolated.contains(from) &&
           !isolated.contains(to);
  }
  bool is_lost(double probability) { return random.uniform_real() < probability; }
  std::chrono::microseconds travel_time() {
    return std::chrono::microseconds(200 +
                                     random.below(static_cast<std::size_t>(most_delay.count())));
  }

  support::task<> carry(std::shared_ptr<call> made, std::string from, net::client_request request) {
    const std::string to = request.address;
    co_await time.sleep_for(travel_time());
    ++messages;
    if (!passes(from, to) || is_lost(request_loss))
      co_return;
    const auto found = servers.find(to);
    if (found == servers.end()) {
      made->is_reset = true;
      made->changed.notify();
      co_return;
    }
    const server reached = found->second;
    co_await reached.clock->wait_until_resumed();
    net::server_request received;
    received.method = request.method;
    received.path = request.target;
    received.body = std::move(request.body);
    made->is_answer_lost = is_lost(answer_loss);
    const auto writer = std::make_shared<slot_writer>(*this, made, from, to);
    co_await reached.handle(std::move(received), *writer);
    made->on_close = nullptr;
  }

  /// Shows the caller the first `part` of the answer, and its end.
  support::task<> show(std::shared_ptr<call> made, std::string from, std::string to, int status,
                       std::string part, bool is_end) {
    // Parts arrive in the order in which they were sent.
    const auto arrival = time.now() + travel_time() +
                         (slow_answers.contains(to) ? answer_delay : std::chrono::milliseconds(0));
    made->last_arrival = std::max<support::clock::time_point>(
        arrival, made->last_arrival + std::chrono::nanoseconds(1));
    co_await time.sleep_for(made->last_arrival - time.now());
    if (!passes(from, to) || made->is_answer_lost)
      co_return;
    made->status = status;
    made->body += part;
    made->is_complete = made->is_complete || is_end;
    made->changed.notify();
  }

  /// Writes the answer of a server.
  class slot_writer final : public net::response_writer {
  public:
    slot_writer(slot_network& network, std::shared_ptr<call> made, std::string from, std::string to)
        : network_(network), call_(std::move(made)), from_(std::move(from)), to_(std::move(to)) {}

    void send(int status, net::header_list, std::string body) override {
      status_ = status;
      show(std::move(body), true);
    }
    void start(int status, net::header_list) override {
      status_ = status;
      show("", false);
    }
    support::task<bool> write(std::string chunk) override {
      show(std::move(chunk), false);
      co_return !call_->is_closed;
    }
    void finish() override { show("", true); }
    support::task<bool> written() override { co_return !call_->is_closed; }
    void abort() override {}
    void on_disconnect(std::function<void()> callback) override {
      if (call_->is_closed)
        callback();
      else
        call_->on_close = std::move(callback);
    }
    bool started() const override { return status_ != 0; }

  private:
    void show(std::string part, bool is_end) {
      support::spawn(network_.executor, "show",
                     network_.show(call_, from_, to_, status_, std::move(part), is_end));
    }

    slot_network& network_;
    std::shared_ptr<call> call_;
    std::string from_;
    std::string to_;
    int status_ = 0;
  };

  support::clock& time;
  support::random_source& random;
  asio::any_io_executor executor;
  std::map<std::string, server> servers{};
  std::set<std::pair<std::string, std::string>> cuts{};
  std::set<std::string> isolated{};
  /// Servers whose answers take `answer_delay` longer.
  std::set<std::string> slow_answers{};
  std::chrono::milliseconds answer_delay{0};
  std::chrono::microseconds most_delay{3000};
  double request_loss = 0;
  double answer_loss = 0;
  std::size_t messages = 0;
};

/// An exchange over a `slot_network`. It closes its connection when it ends before its answer.
class slot_exchange final : public net::http_exchange {
public:
  slot_exchange(slot_network& network, support::clock& caller, const std::string& from,
                net::client_request request)
      : caller_(caller), call_(std::make_shared<slot_network::call>(caller)) {
    support::spawn(network.executor, "carry", network.carry(call_, from, std::move(request)));
  }
  ~slot_exchange() override {
    call_->is_closed = true;
    if (!call_->is_complete && call_->on_close)
      std::exchange(call_->on_close, nullptr)();
  }

  support::task<net::response_head> head(std::chrono::nanoseconds timeout) override {
    const auto until = caller_.now() + timeout;
    while (call_->status == 0)
      co_await wait(until);
    net::response_head head;
    head.status = call_->status;
    co_return head;
  }
  support::task<std::optional<std::string>> read(std::chrono::nanoseconds timeout) override {
    const auto until = caller_.now() + timeout;
    while (!call_->is_complete)
      co_await wait(until);
    if (std::exchange(read_, true))
      co_return std::nullopt;
    co_return call_->body;
  }
  void cancel() override {
    is_cancelled_ = true;
    call_->changed.notify();
  }

private:
  support::task<> wait(support::clock::time_point until) {
    const std::chrono::nanoseconds left = until - caller_.now();
    if (call_->is_reset || is_cancelled_ || left <= std::chrono::nanoseconds(0))
      throw net::transport_error(net::request_progress::may_have_been_read, !call_->is_reset,
                                 "no answer");
    co_await call_->changed.wait_for(left);
  }

  support::clock& caller_;
  std::shared_ptr<slot_network::call> call_;
  bool is_cancelled_ = false;
  bool read_ = false;
};

/// One node's client.
class slot_client final : public net::http_client {
public:
  slot_client(slot_network& network, support::clock& time, std::string self)
      : network_(network), time_(time), self_(std::move(self)) {}

  std::unique_ptr<net::http_exchange> open(net::client_request request) override {
    return std::make_unique<slot_exchange>(network_, time_, self_, std::move(request));
  }

private:
  slot_network& network_;
  support::clock& time_;
  std::string self_;
};

} // namespace camphorlug::scheduling
