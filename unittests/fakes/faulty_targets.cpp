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
      : targets_(targets), request_(std::move(request)), ended_(targets.time_),
        parts_(request_.headers.find("Parts").value_or("")),
        is_deadly_(contains_part(parts_, targets.deadly_part) ||
                   targets.deadly_bodies.contains(request_.body)),
        refused_(targets.is_down(request_.address)) {
    if (refused_ || (request_.send_if && !request_.send_if())) {
      refused_ = true;
      return;
    }
    targets_.open_[request_.address].insert(this);
    targets_.arrivals.push_back(
        {targets_.time_.now(), request_.address, node(), parts_, is_deadly_});
  }

  ~exchange() override { targets_.open_[request_.address].erase(this); }

  support::task<net::response_head> head(std::chrono::nanoseconds) override {
    if (refused_)
      throw transport_error(request_progress::not_sent, false, "refused");
    co_await pass(time_to_answer);
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

  support::task<std::optional<std::string>> read(std::chrono::nanoseconds) override {
    if (++read_ > 2)
      co_return std::nullopt;
    co_await pass(std::chrono::milliseconds(10));
    if (is_deadly_ && read_ > 1)
      crash();
    co_return "id: " + std::to_string(read_) + "\ndata: x\n\n";
  }

  void cancel() override { reset(); }
  void reset() {
    is_reset_ = true;
    ended_.notify();
  }

private:
  std::string node() const { return request_.headers.find("Node").value_or(""); }

  void crash() {
    targets_.deadly_crashes.push_back(targets_.time_.now());
    targets_.crash(request_.address);
    throw_reset();
  }

  static void throw_reset() {
    throw transport_error(request_progress::may_have_been_read, false, "reset");
  }

  support::task<> pass(std::chrono::nanoseconds span) {
    if (!is_reset_)
      co_await ended_.wait_for(span);
    if (is_reset_)
      throw_reset();
  }

  faulty_targets& targets_;
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
  for (exchange* each : open_[target])
    each->reset();
}

void faulty_targets::crash(const std::string& target) {
  down_.insert(target);
  reset_connections(target);
  if (on_crash)
    on_crash(target);
}

} // namespace camphorlug::fakes
