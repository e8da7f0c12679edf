#include "fakes/faulty_targets.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/notification.h"

#include <sstream>

namespace camphorlug::fakes {

using net::request_progress;
using net::transport_error;

static bool contains_part(const std::string& parts, const std::string& wanted) {
  std::istringstream words(parts);
  for (std::string part; words >> part;) {
    if (part == wanted)
      return true;
  }
  return false;
}

class faulty_targets::exchange final : public net::http_exchange {
public:
  exchange(faulty_targets& targets, net::client_request request)
      : targets_(targets), number_(++targets.last_exchange_), request_(std::move(request)),
        ended_(targets.time_), parts_(request_.headers.find("Parts").value_or("")),
        is_deadly_(contains_part(parts_, targets.deadly_part) ||
                   targets.deadly_bodies.contains(request_.body)),
        refused_(targets.is_down(request_.address) || is_refused_by_cut()) {
    if (is_hanging())
      return;
    if (refused_ || (request_.send_if && !request_.send_if())) {
      refused_ = true;
      return;
    }
    targets_.open_[request_.address].emplace(number_, this);
    targets_.arrivals.push_back(
        {targets_.time_.now(), request_.address, node(), parts_, is_deadly_});
  }

  ~exchange() override { targets_.open_[request_.address].erase(number_); }

  support::task<net::response_head> head(std::chrono::nanoseconds timeout) override {
    if (refused_)
      throw transport_error(request_progress::not_sent, false, "refused");
    if (is_hanging() && request_.connection == net::connection_use::fresh) {
      co_await ended_.wait_for(
          std::min<std::chrono::nanoseconds>(request_.connect_timeout, timeout));
      throw transport_error(request_progress::not_sent, true, "no connection");
    }
    co_await pass(time_to_answer, timeout);
    if (is_deadly_ && !targets_.crashes_late)
      crash();
    net::response_head head;
    head.status = 200;
    head.headers.add("Id", request_.headers.find("Id").value_or(""));
    if (const auto limit = targets_.limits.find(request_.address); limit != targets_.limits.end()) {
      head.headers.add("Limit", std::to_string(limit->second));
      targets_.told[request_.address].try_emplace(node(), targets_.time_.now());
    }
    co_return head;
  }

  support::task<std::optional<std::string>> read(std::chrono::nanoseconds timeout) override {
    if (++read_ > 2)
      co_return std::nullopt;
    co_await pass(std::chrono::milliseconds(10), timeout);
    if (is_deadly_ && read_ > 1)
      crash();
    co_return "id: " + std::to_string(read_) + "\ndata: x\n\n";
  }

  std::string node() const { return request_.headers.find("Node").value_or(""); }

  void cancel() override { reset(); }
  void reset() {
    is_reset_ = true;
    ended_.notify();
  }

private:
  void crash() {
    targets_.deadly_crashes.push_back(targets_.time_.now());
    targets_.crash(request_.address);
    throw_reset();
  }

  static void throw_reset() {
    throw transport_error(request_progress::may_have_been_read, false, "reset");
  }

  bool is_cut(cut_kind kind) const {
    const auto cut = targets_.cuts_.find(node());
    return cut != targets_.cuts_.end() && cut->second == kind;
  }
  bool is_hanging() const { return is_cut(cut_kind::hang); }
  bool is_refused_by_cut() const {
    return is_cut(cut_kind::reset) ||
           (is_cut(cut_kind::refuse_new) && request_.connection == net::connection_use::fresh);
  }

  /// Waits for `span`, and longer while the target is silent or the connection hangs.
  support::task<> pass(std::chrono::nanoseconds span, std::chrono::nanoseconds timeout) {
    const auto gives_up_at = targets_.time_.now() + timeout;
    if (!is_reset_)
      co_await ended_.wait_for(std::min(span, timeout));
    const bool was_hanging = is_hanging();
    while (!is_reset_ && (was_hanging || targets_.time_.now() < targets_.silent_until)) {
      const auto left = gives_up_at - targets_.time_.now();
      if (left <= std::chrono::nanoseconds(0))
        throw transport_error(request_progress::may_have_been_read, true, "no answer");
      co_await ended_.wait_for(std::min<std::chrono::nanoseconds>(left, poll_interval));
    }
    if (is_reset_)
      throw_reset();
  }

  static constexpr std::chrono::milliseconds poll_interval{10};

  faulty_targets& targets_;
  std::size_t number_;
  net::client_request request_;
  support::notification ended_;
  std::string parts_;
  bool is_deadly_;
  bool refused_;
  bool is_reset_ = false;
  int read_ = 0;
};

std::unique_ptr<net::http_exchange> faulty_targets::open(net::client_request request) {
  return std::make_unique<exchange>(*this, std::move(request));
}

void faulty_targets::reset_connections(const std::string& target) {
  for (const auto& [number, each] : open_[target])
    each->reset();
}

void faulty_targets::cut_off(const std::string& node, cut_kind kind) {
  cuts_[node] = kind;
  if (kind != cut_kind::reset)
    return;
  for (auto& [target, exchanges] : open_) {
    for (const auto& [number, each] : exchanges) {
      if (each->node() == node)
        each->reset();
    }
  }
}

void faulty_targets::crash(const std::string& target) {
  down_.insert(target);
  reset_connections(target);
  if (on_crash)
    on_crash(target);
}

} // namespace camphorlug::fakes
