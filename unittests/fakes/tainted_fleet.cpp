#include "fakes/tainted_fleet.h"

#include <algorithm>

namespace camphorlug::fakes {

using namespace std::chrono_literals;

tainted_fleet::tainted_fleet(std::size_t nodes, std::size_t targets, std::uint64_t random_seed)
    : edge_cluster(nodes, random_seed), side(clock) {
  target_client = &side;
  orders.is_alive = [this](const std::string& id) { return !side.is_down(id); };
  orders.is_cut_off = [this](const std::string& node) { return side.is_cut_off(node); };
  side.on_crash = [this](const std::string& id) {
    support::spawn(context.get_executor(), "replace", replace(id));
  };
  set_config(1);
  for (std::size_t i = 0; i < targets; ++i)
    add_target("t" + std::to_string(i));
  run_for(3s);
}

tainted_fleet::~tainted_fleet() {
  clock.shut_down();
}

/// The target comes back as another instance.
support::task<> tainted_fleet::replace(std::string id) {
  co_await clock.sleep_for(time_until_target_is_back);
  tables.remove("targets", id);
  add_target(id + "+");
}

void tainted_fleet::send(std::size_t node, net::server_request request, bool is_deadly) {
  auto added = std::make_unique<caller>();
  added->sent_at = clock.now();
  added->deadly = is_deadly;
  request.headers.add("Host", "example");
  request.headers.add("Id", "r" + std::to_string(callers.size()));
  support::spawn(context.get_executor(), "call",
                 edges[node]->node->handle_caller(std::move(request), added->writer));
  callers.push_back(std::move(added));
}

void tainted_fleet::send(std::size_t node, const std::string& parts) {
  net::server_request request;
  request.method = "POST";
  request.path = "/stream/x";
  request.headers.add("Parts", parts);
  // Requests with the same parts are not equal.
  request.body = "body of " + std::to_string(callers.size());
  send(node, std::move(request), parts.find(deadly) != std::string::npos);
}

void tainted_fleet::send_requests(std::chrono::milliseconds span, bool deadly_first) {
  for (auto sent = 0ms; sent < span; sent += interval) {
    const std::string topic = "topic" + std::to_string(random.below(topics));
    const bool harms = random.uniform_real() < deadly_share;
    const std::string common = "system " + topic;
    const std::string harmful = deadly_first ? deadly + (" " + common) : common + " " + deadly;
    send(random.below(edges.size()), harms ? harmful : common);
    run_for(interval);
  }
}

void tainted_fleet::play_until_banned() {
  side.deadly_part = deadly;
  for (int i = 0; i < 8 && banned(0) == 0; ++i) {
    send(i % edges.size(), "system topic1 " + deadly);
    send(i % edges.size(), "system topic1");
    run_for(1s);
  }
}

void tainted_fleet::wait_until_ready(std::size_t node) {
  for (int i = 0; i < 500 && !edges[node]->node->ready(); ++i)
    run_for(10ms);
}

void tainted_fleet::crash_live_targets(std::size_t count) {
  std::vector<std::string> live;
  for (const auto& [id, row] : tables.tables["targets"]) {
    if (!row.deleted && !side.is_down(id))
      live.push_back(id);
  }
  for (std::size_t i = 0; i < std::min(count, live.size()); ++i)
    side.crash(live[(i * 7 + random.below(live.size())) % live.size()]);
}

std::size_t tainted_fleet::deadly_arrivals_after(support::clock::time_point start) const {
  return std::count_if(side.arrivals.begin(), side.arrivals.end(),
                       [&](const auto& each) { return each.at > start && each.is_deadly; });
}

double tainted_fleet::served_after(support::clock::time_point start) const {
  std::size_t sent = 0;
  std::size_t served = 0;
  for (const auto& each : callers) {
    if (each->deadly || each->sent_at < start)
      continue;
    ++sent;
    served += each->writer.status == 200 && each->writer.finished ? 1 : 0;
  }
  return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(sent, 1));
}

std::ostream& operator<<(std::ostream& out, const node_return& each) {
  return out << each.name;
}

const std::vector<node_return>& node_returns() {
  static const std::vector<node_return> all{
      {"one node restarts",
       [](tainted_fleet& fleet) {
         fleet.kill(2);
         fleet.start(2);
       }},
      {"a node starts at another address",
       [](tainted_fleet& fleet) {
         fleet.kill(2);
         fleet.start(2, "peer-new");
       }},
      {"all nodes restart",
       [](tainted_fleet& fleet) {
         for (std::size_t i = 0; i < fleet.edges.size(); ++i)
           fleet.kill(i);
         for (std::size_t i = 0; i < fleet.edges.size(); ++i)
           fleet.start(i);
       }},
      {"a node restarts without the store",
       [](tainted_fleet& fleet) {
         fleet.kill(2);
         fleet.start(2);
         fleet.cut_store(2, true);
       }},
      {"a node was cut off",
       [](tainted_fleet& fleet) {
         fleet.network.cut.insert(fleet.edges[2]->peer_address);
         fleet.cut_store(2, true);
         fleet.run_for(5s);
         fleet.network.cut.erase(fleet.edges[2]->peer_address);
         fleet.cut_store(2, false);
         fleet.run_for(2s);
       }},
  };
  return all;
}

} // namespace camphorlug::fakes
