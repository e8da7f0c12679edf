#include "fault_injector.h"

#include "camphorlug/net/problem.h"

#include <nlohmann/json.hpp>

namespace camphorlug::standins {

fault_injector::fault_injector(asio::io_context& context, support::clock& time,
                               const std::string& address, std::function<std::string()> log,
                               fault_callback on_fault)
    : clock_(time), log_(std::move(log)), on_fault_(std::move(on_fault)),
      server_(context, address, [this](net::server_request request, net::response_writer& writer) {
        return handle_request(std::move(request), writer);
      }) {}

bool fault_injector::active(const std::string& kind) const {
  const auto found = faults_.find(kind);
  return found != faults_.end() && clock_.now() < found->second.until;
}

std::int64_t fault_injector::parameter(const std::string& kind, const std::string& name,
                                       std::int64_t fallback) const {
  const auto found = faults_.find(kind);
  if (found == faults_.end())
    return fallback;
  const auto value = found->second.parameters.find(name);
  return value == found->second.parameters.end() ? fallback : value->second;
}

bool fault_injector::is_responsive(std::uint64_t connection) {
  connections_.insert(connection);
  return !silent_connections_.contains(connection);
}

void fault_injector::inject(const std::string& body) {
  const auto description = nlohmann::json::parse(body);
  const std::string kind = description.at("fault");
  fault injected;
  const std::int64_t seconds = description.value("seconds", 3600);
  injected.until = clock_.now() + std::chrono::seconds(seconds);
  for (const auto& [name, value] : description.items()) {
    if (value.is_number())
      injected.parameters[name] = value.get<std::int64_t>();
  }
  faults_[kind] = injected;
  if (kind == "silent")
    silent_connections_ = connections_;
  on_fault_(kind, seconds);
}

support::task<> fault_injector::handle_request(net::server_request request,
                                               net::response_writer& writer) {
  if (request.path == "/log") {
    net::send_json(writer, 200, log_());
    co_return;
  }
  if (request.path != "/faults") {
    net::send_problem(writer, {404, "unknown-path", "use /faults or /log"});
    co_return;
  }
  if (request.method == "DELETE") {
    faults_.clear();
  } else {
    try {
      inject(request.body);
    } catch (const nlohmann::json::exception& error) {
      net::send_problem(writer, {400, "bad-fault", error.what()});
      co_return;
    }
  }
  net::send_json(writer, 200, "{}\n");
}

} // namespace camphorlug::standins
