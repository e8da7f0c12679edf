#include "fakes/fake_fleet.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/table/store_error.h"

#include "generator.h"

#include <nlohmann/json.hpp>

namespace camphorlug::fakes {

using net::request_progress;
using net::transport_error;

static constexpr std::chrono::milliseconds network_delay{1};
static constexpr std::size_t default_tokens = 16;

namespace {

/// One HTTP exchange with a fake target.
class fake_exchange final : public net::http_exchange {
public:
  fake_exchange(fake_fleet& fleet, net::client_request request, bool reachable)
      : fleet_(fleet), request_(std::move(request)), reachable_(reachable) {}

  support::task<net::response_head> head(std::chrono::nanoseconds timeout) override {
    co_await fleet_.time().sleep_for(network_delay);
    engine_ = reachable_ ? fleet_.at_address(request_.address) : nullptr;
    if (!engine_ || !engine_->alive)
      throw transport_error(request_progress::not_sent, false, "refused");
    if (engine_->frozen)
      co_await fail_with_timeout(timeout);
    fault_ = take_connection_fault();
    if (fault_ == connection_fault::refused)
      throw transport_error(request_progress::not_sent, false, "refused");
    if (fault_ == connection_fault::broken_before_run)
      throw transport_error(request_progress::may_have_been_read, false, "reset");
    if (fault_ == connection_fault::unexpected)
      throw std::runtime_error("an unexpected failure");
    net::response_head answer;
    answer.status = fault_ == connection_fault::declared_not_run ? 503 : start();
    if (fault_ == connection_fault::failed)
      answer.status = 500;
    if (fault_ == connection_fault::broken_after_run)
      throw transport_error(request_progress::may_have_been_read, false, "reset");
    if (fault_ == connection_fault::silent)
      co_await fail_with_timeout(timeout);
    if (fault_ == connection_fault::server_error)
      answer.status = 500;
    const bool crossed = fault_ == connection_fault::crossed;
    answer.headers.add("Attempt-Id", crossed ? "another" : attempt_);
    answer.headers.add("Content-Type", "application/json");
    co_return answer;
  }

  support::task<std::optional<std::string>> read(std::chrono::nanoseconds timeout) override {
    if (!is_stream_)
      co_return std::exchange(is_body_sent_, true) ? std::nullopt : std::optional(body_);
    const fake_stream stream = engine_->streams[attempt_];
    if (index_ > stream.wanted)
      co_return std::exchange(is_body_sent_, true) ? std::nullopt
                                                   : std::optional<std::string>("data: [DONE]\n\n");
    co_await fleet_.time().sleep_for(engine_->token_time);
    if (!engine_->alive)
      abort_stream();
    if (engine_->frozen)
      co_await fail_with_timeout(timeout);
    if (engine_->fault != stream_fault::none && engine_->fault_at == index_) {
      const stream_fault fault = std::exchange(engine_->fault, stream_fault::none);
      co_return co_await apply_stream_fault(fault, stream, timeout);
    }
    co_return engine_event(attempt_, stream, index_++);
  }

  void cancel() override {}

private:
  [[noreturn]] void abort_stream() {
    if (engine_->drops_streams_on_disconnect)
      engine_->streams.erase(attempt_);
    throw transport_error(request_progress::may_have_been_read, false, "reset");
  }

  support::task<> fail_with_timeout(std::chrono::nanoseconds timeout) {
    co_await fleet_.time().sleep_for(timeout);
    throw transport_error(request_progress::may_have_been_read, true, "timeout");
  }

  connection_fault take_connection_fault() {
    if (engine_->faulty_connections == 0 || request_.method == "DELETE")
      return connection_fault::none;
    --engine_->faulty_connections;
    return engine_->next_connection;
  }

  /// Executes the request and returns the response status.
  int start() {
    static const std::string streams = "/v1/streams/";
    if (request_.target.starts_with(streams)) {
      const std::size_t query = request_.target.find("?from=");
      attempt_ = request_.target.substr(streams.size(), query - streams.size());
      if (request_.method == "DELETE") {
        engine_->streams.erase(attempt_);
        return 200;
      }
      if (!engine_->streams.contains(attempt_))
        return 404;
      index_ = std::stoul(request_.target.substr(query + 6));
      is_stream_ = true;
      return 200;
    }
    attempt_ = request_.headers.find("Attempt-Id").value_or("");
    const std::string group = request_.headers.find("Group").value_or("");
    if (group != engine_->report.group)
      return 409;
    engine_->executed.push_back(attempt_);
    const auto body = nlohmann::json::parse(request_.body, nullptr, false);
    if (group.empty() || !body.is_object()) {
      body_ = fault_ == connection_fault::crossed ? "another's" : "ran " + attempt_;
      return 200;
    }
    is_stream_ = true;
    index_ = body.contains("continue") ? body["continue"]["tokens"].get<std::size_t>() : 0;
    engine_->streams[attempt_] = {body["messages"].dump(),
                                  body.value("max_tokens", default_tokens)};
    return 200;
  }

  support::task<std::optional<std::string>>
  apply_stream_fault(stream_fault fault, fake_stream stream, std::chrono::nanoseconds timeout) {
    switch (fault) {
    case stream_fault::stall:
      co_await fail_with_timeout(timeout);
      break;
    case stream_fault::crossed:
      co_return engine_event("another", {"another prompt", stream.wanted}, index_++);
    case stream_fault::repeated:
      co_return engine_event(attempt_, stream, index_ > 0 ? index_ - 1 : 1);
    case stream_fault::gap:
      ++index_;
      co_return engine_event(attempt_, stream, index_++);
    case stream_fault::cut:
    case stream_fault::none:
      break;
    }
    abort_stream();
  }

  fake_fleet& fleet_;
  net::client_request request_;
  bool reachable_;
  fake_engine* engine_ = nullptr;
  connection_fault fault_ = connection_fault::none;
  std::string attempt_;
  std::size_t index_ = 0;
  bool is_stream_ = false;
  bool is_body_sent_ = false;
  std::string body_;
};

} // namespace

fake_engine& fake_fleet::add(table::listed_instance instance) {
  fake_engine engine;
  engine.report.instance = instance.id;
  engine.report.incarnation = "1";
  engine.report.ready = instance.role == table::instance_role::plain;
  engine.address = instance.address;
  listed_[instance.id] = instance;
  return engines_[instance.id] = engine;
}

fake_engine* fake_fleet::at_address(const std::string& address) {
  for (auto& [id, engine] : engines_) {
    if (engine.address == address)
      return &engine;
  }
  return nullptr;
}

void fake_fleet::refresh(fake_engine& engine) const {
  if (!engine.report.group.empty() && !engine.report.ready && time_.now() >= engine.ready_at)
    engine.report.ready = true;
}

support::task<fake_engine*> fake_target_client::connect(std::string address,
                                                        std::chrono::nanoseconds timeout) {
  co_await fleet_.time().sleep_for(network_delay);
  fake_engine* engine = fleet_.at_address(address);
  if (unreachable.contains(address)) {
    co_await fleet_.time().sleep_for(timeout);
    throw transport_error(request_progress::not_sent, true, "unreachable");
  }
  if (!engine || !engine->alive)
    throw transport_error(request_progress::not_sent, false, "refused");
  if (engine->frozen) {
    co_await fleet_.time().sleep_for(timeout);
    throw transport_error(request_progress::may_have_been_read, true, "timeout");
  }
  co_return engine;
}

support::task<targets::instance_report>
fake_target_client::report(std::string address, std::chrono::nanoseconds timeout) {
  fake_engine* engine = co_await connect(std::move(address), timeout);
  fleet_.refresh(*engine);
  co_return engine->report;
}

support::task<bool> fake_target_client::healthy(std::string address,
                                                std::chrono::nanoseconds timeout) {
  co_await connect(std::move(address), timeout);
  co_return true;
}

support::task<targets::order_result>
fake_target_client::order(std::string address, targets::instance_order what,
                          std::chrono::nanoseconds timeout, std::function<bool()> still_allowed) {
  fake_engine* engine = co_await connect(std::move(address), timeout);
  if (order_exceptions > 0) {
    --order_exceptions;
    throw std::runtime_error("an unexpected failure");
  }
  if (!still_allowed())
    throw transport_error(request_progress::not_sent, false, "not allowed");
  co_await fleet_.time().sleep_for(order_delay);
  if (engine->checks_numbers && what.number < engine->report.number)
    co_return targets::order_result::refused_stale_number;
  engine->orders.push_back(what);
  targets::instance_report& report = engine->report;
  report.number = what.number;
  if (what.action == targets::order_action::release) {
    report.group.clear();
    co_return targets::order_result::accepted;
  }
  const bool holds_shard = report.ready && report.version == what.version &&
                           report.model == what.model && report.rank == what.rank;
  report.group = what.group;
  report.rank = what.rank;
  report.model = what.model;
  report.version = what.version;
  if (!holds_shard) {
    report.ready = false;
    engine->ready_at = fleet_.time().now() + engine->load_time;
  }
  co_return targets::order_result::accepted;
}

std::unique_ptr<net::http_exchange> fake_target_client::open(net::client_request request) {
  const bool reachable = !unreachable.contains(request.address);
  return std::make_unique<fake_exchange>(fleet_, std::move(request), reachable);
}

support::task<std::vector<table::listed_instance>> fake_instance_list::list() {
  co_await fleet_.time().sleep_for(network_delay);
  if (down)
    throw table::store_error("down", false);
  std::vector<table::listed_instance> instances;
  for (const auto& [id, instance] : fleet_.listed())
    instances.push_back(instance);
  co_return instances;
}

} // namespace camphorlug::fakes
