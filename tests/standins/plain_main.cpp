#include "camphorlug/net/curl_client.h"
#include "camphorlug/net/http_server.h"
#include "camphorlug/net/problem.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/asio_clock.h"
#include "camphorlug/support/digest.h"

#include "fault_injector.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <thread>

DEFINE_string(id, "plain-1", "instance id");
DEFINE_string(address, "127.0.0.1:7300", "ip:port of the service");
DEFINE_string(fault_address, "127.0.0.1:7301", "ip:port of the fault injection server");
DEFINE_string(platform, "127.0.0.1:7100", "ip:port of the platform");
DEFINE_string(data_centre, "dc-1", "data centre");
DEFINE_string(pool, "counter", "pool of the instance");
DEFINE_int32(work_ms, 5, "processing time of a request, in milliseconds");

namespace camphorlug::standins {

static constexpr std::chrono::milliseconds heartbeat_interval{500};

/// A non-model service that logs the requests that it executes.
class plain_service {
public:
  explicit plain_service(asio::io_context& context)
      : clock_(context), client_(context, clock_),
        faults_(
            context, clock_, FLAGS_fault_address, [this] { return log_.dump() + "\n"; },
            [](const std::string& kind, std::int64_t seconds) {
              if (kind == "die")
                std::_Exit(1);
              if (kind == "freeze")
                std::this_thread::sleep_for(std::chrono::seconds(seconds));
            }),
        server_(context, FLAGS_address,
                [this](net::server_request request, net::response_writer& writer) {
                  return handle_request(std::move(request), writer);
                }) {
    support::spawn(context.get_executor(), "heartbeat", send_heartbeats());
  }

private:
  support::task<> send_heartbeats() {
    for (;;) {
      nlohmann::json self{
          {"id", FLAGS_id},     {"address", FLAGS_address}, {"data_centre", FLAGS_data_centre},
          {"pool", FLAGS_pool}, {"role", "plain"},          {"leaving", faults_.active("leave")}};
      net::client_request request;
      request.method = "PUT";
      request.address = FLAGS_platform;
      request.target = "/v1/instances/" + FLAGS_id;
      request.body = self.dump();
      try {
        co_await client_.fetch(std::move(request), heartbeat_interval);
      } catch (const net::transport_error&) {
        // The platform may be down; the next heartbeat retries.
      }
      co_await clock_.sleep_for(heartbeat_interval);
    }
  }

  support::task<> handle_request(net::server_request request, net::response_writer& writer) {
    if (!faults_.is_responsive(request.connection_id))
      co_await clock_.sleep_for(std::chrono::hours(1));
    if (request.path == "/healthz") {
      net::send_json(writer, 200, "{}\n");
      co_return;
    }
    if (faults_.active("refuse")) {
      net::send_problem(writer, {503, "refused", "not run"});
      co_return;
    }
    const std::string attempt = request.headers.find("Attempt-Id").value_or("");
    log_.push_back({{"attempt_id", attempt},
                    {"idempotency_key", request.headers.find("Idempotency-Key").value_or("")},
                    {"path", request.path},
                    {"body_sha256", support::sha256_hex(request.body)},
                    {"group", ""},
                    {"number", 0},
                    {"at_ms", clock_.now().time_since_epoch() / std::chrono::milliseconds(1)}});
    const std::size_t execution = log_.size();
    co_await clock_.sleep_for(std::chrono::milliseconds(
        FLAGS_work_ms * (faults_.active("slow") ? faults_.parameter("slow", "factor", 10) : 1)));
    if (faults_.active("late"))
      co_await clock_.sleep_for(
          std::chrono::milliseconds(faults_.parameter("late", "milliseconds", 10'000)));
    net::header_list headers;
    headers.add("Attempt-Id", faults_.active("cross") ? "another" : attempt);
    headers.add("Content-Type", "application/json");
    const nlohmann::json body{{"instance", FLAGS_id},
                              {"path", request.path},
                              {"execution", execution},
                              {"echo", support::sha256_hex(request.body)}};
    writer.send(200, std::move(headers), body.dump() + "\n");
  }

  support::asio_clock clock_;
  net::curl_client client_;
  nlohmann::json log_ = nlohmann::json::array();
  fault_injector faults_;
  net::http_server server_;
};

} // namespace camphorlug::standins

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context context;
  camphorlug::standins::plain_service process(context);
  context.run();
}
