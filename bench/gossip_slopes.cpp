#include "fakes/simulated_cluster.h"

#include <cstdio>
#include <ctime>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

constexpr auto idle_period = 30s;
constexpr std::size_t runners_per_domain = 20;

double cpu_seconds() {
  return double(std::clock()) / CLOCKS_PER_SEC;
}

bool is_active_everywhere(fakes::simulated_cluster& cluster, std::uint64_t version) {
  for (auto& node : cluster.nodes) {
    const auto document = node.node->documents().find("plain");
    if (!document || document->version.number < version)
      return false;
  }
  return true;
}

/// Runs the production code in virtual time and prints the cost of an idle node and the time
/// that an edit takes to become active on every node.
void measure_scaling(std::size_t nodes, std::size_t domains) {
  fakes::simulated_cluster cluster(1);
  cluster.add_runners(domains, runners_per_domain);
  cluster.add_nodes(nodes);
  cluster.run_for(10s);
  cluster.apply(fakes::plain_document());
  cluster.run_for(10s);
  const auto bytes = cluster.network.bytes;
  const auto messages = cluster.network.messages;
  const auto reads = cluster.table.reads;
  const auto commits = cluster.table.commits;
  const double cpu_before = cpu_seconds();
  cluster.run_for(idle_period);
  const double seconds = std::chrono::duration<double>(idle_period).count();
  const double node_seconds = double(nodes) * seconds;
  const double cpu_used = cpu_seconds() - cpu_before;
  const double idle_bytes = double(cluster.network.bytes - bytes) / node_seconds;
  const double idle_messages = double(cluster.network.messages - messages) / node_seconds;
  const double idle_reads = double(cluster.table.reads - reads) / seconds;
  const double idle_commits = double(cluster.table.commits - commits) / seconds;
  double slowest_edit = 0;
  for (std::uint64_t version = 2; version <= 6; ++version) {
    cluster.apply(fakes::plain_document(), version % nodes);
    const auto accepted_at = cluster.clock.now();
    cluster.run_until([&] { return is_active_everywhere(cluster, version); }, 60s);
    slowest_edit = std::max(
        slowest_edit, std::chrono::duration<double>(cluster.clock.now() - accepted_at).count());
  }
  std::printf("| %zu | %zu | %.0f | %.1f | %.2f | %.1f | %.1f | %.2f |\n", nodes,
              domains * runners_per_domain, idle_bytes, idle_messages,
              100 * cpu_used / node_seconds, idle_reads, idle_commits, slowest_edit);
  std::fflush(stdout);
}

} // namespace

int main() {
  std::printf("| nodes | runners | gossip bytes/s a node | exchanges/s a node | processor %% a "
              "node | table reads/s, all | commits/s, all | slowest edit in force s |\n"
              "|---|---|---|---|---|---|---|---|\n");
  for (const std::size_t nodes : {6, 30, 60, 100})
    measure_scaling(nodes, 0);
  for (const std::size_t domains : {1, 3, 9})
    measure_scaling(6, domains);
  measure_scaling(330, 0);
}
