#include "camphorlug/net/http_server.h"
#include "camphorlug/net/problem.h"
#include "camphorlug/support/asio_clock.h"

#include "delayed_instance_list.h"
#include "fault_injector.h"
#include "row_table.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(address, "127.0.0.1:7100", "ip:port of the platform API");
DEFINE_string(fault_address, "127.0.0.1:7101", "ip:port of the fault injection server");
DEFINE_int32(weight_slots, 8, "maximum number of concurrent shard transfers");

namespace camphorlug::standins {

static constexpr std::chrono::milliseconds list_interval{100};
static constexpr std::chrono::seconds lost_response_delay{30};

/// Simulates the platform: table service, instance list and weight store in one process.
class platform_service {
public:
  explicit platform_service(asio::io_context& context)
      : clock_(context), faults_(
                             context, clock_, FLAGS_fault_address, [this] { return table_.log(); },
                             [](const std::string&, std::int64_t) {}),
        server_(context, FLAGS_address,
                [this](net::server_request request, net::response_writer& writer) {
                  return handle_request(std::move(request), writer);
                }) {
    support::spawn(context.get_executor(), "list", take_snapshots());
  }

private:
  support::task<> take_snapshots() {
    for (;;) {
      list_.take_snapshot(clock_.now());
      co_await clock_.sleep_for(list_interval);
    }
  }

  support::task<> handle_request(net::server_request request, net::response_writer& writer) {
    if (request.method == "PUT" || request.method == "DELETE") {
      put_instance(request, writer);
      co_return;
    }
    if (request.path == "/v1/weights") {
      co_await send_weights(request, writer);
      co_return;
    }
    if (faults_.active("slow"))
      co_await clock_.sleep_for(
          std::chrono::milliseconds(faults_.parameter("slow", "milliseconds", 1000)));
    if (faults_.active("down")) {
      net::send_problem(writer, {503, "down", "the platform is down"});
      co_return;
    }
    if (request.path == "/v1/instances") {
      const std::chrono::seconds lag(
          faults_.active("lag") ? faults_.parameter("lag", "lag_seconds", 10) : 0);
      net::send_json(writer, 200, list_.read(clock_.now(), lag));
    } else if (request.path == "/v1/rows") {
      send_rows(writer, request.query_value("prefix").value_or(""));
    } else if (request.path == "/v1/transactions") {
      co_await commit(request, writer);
    } else {
      net::send_problem(writer, {404, "unknown-path", request.path});
    }
  }

  void put_instance(const net::server_request& request, net::response_writer& writer) {
    const std::string id = request.path.substr(request.path.rfind('/') + 1);
    if (request.method == "DELETE")
      list_.remove(id);
    else
      list_.put(id, request.body, request.query_value("static").has_value(), clock_.now());
    net::send_json(writer, 200, "{}\n");
  }

  support::task<> send_weights(const net::server_request& request, net::response_writer& writer) {
    static constexpr std::chrono::milliseconds queue_poll_interval{20};
    while (active_transfers_ >= FLAGS_weight_slots)
      co_await clock_.sleep_for(queue_poll_interval);
    ++active_transfers_;
    co_await clock_.sleep_for(
        std::chrono::milliseconds(std::stoi(request.query_value("milliseconds").value_or("1000"))));
    --active_transfers_;
    net::send_json(writer, 200, "{}\n");
  }

  static nlohmann::json to_json(const std::vector<table::row>& rows) {
    auto list = nlohmann::json::array();
    for (const table::row& row : rows)
      list.push_back({{"key", row.key}, {"value", row.value}, {"version", row.version}});
    return list;
  }

  void send_rows(net::response_writer& writer, const std::string& prefix) {
    net::send_json(writer, 200, nlohmann::json{{"rows", to_json(table_.scan(prefix))}}.dump());
  }

  static table::transaction parse(const std::string& body) {
    const auto value = nlohmann::json::parse(body);
    table::transaction change;
    for (const auto& check : value.at("checks"))
      change.checks.push_back({check.at("key"), check.at("version")});
    for (const auto& write : value.at("writes")) {
      std::optional<std::string> text;
      if (!write.at("value").is_null())
        text = write.at("value").get<std::string>();
      change.writes.push_back({write.at("key"), text});
    }
    return change;
  }

  support::task<> commit(const net::server_request& request, net::response_writer& writer) {
    const table::commit_result result = table_.commit(parse(request.body));
    if (faults_.active("lose_answers"))
      co_await clock_.sleep_for(lost_response_delay);
    nlohmann::json response{{"committed", result.committed}, {"version", result.version}};
    response["rows"] = to_json(result.current);
    net::send_json(writer, result.committed ? 200 : 409, response.dump());
  }

  support::asio_clock clock_;
  row_table table_;
  delayed_instance_list list_;
  int active_transfers_ = 0;
  fault_injector faults_;
  net::http_server server_;
};

} // namespace camphorlug::standins

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context context;
  camphorlug::standins::platform_service process(context);
  context.run();
}
