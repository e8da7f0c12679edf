#include "fakes/simulated_cluster.h"

#include <cstdio>
#include <ctime>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

constexpr auto rest_time = 30s;
constexpr std::size_t runners_per_domain = 20;

double processor_seconds() {
  return double(std::clock()) / CLOCKS_PER_SEC;
}

bool all_have(fakes::simulated_cluster& world, std::uint64_t version) {
  for (auto& node : world.nodes) {
    const auto in_force = node.node->documents().find("plain");
    if (!in_force || in_force->version.number < version)
      return false;
  }
  return true;
}

/// Real code in virtual time: what one node costs at rest and how long an edit
/// takes to be in force everywhere.
void measure(std::size_t nodes, std::size_t domains) {
  fakes::simulated_cluster world(1);
  world.add_runners(domains, runners_per_domain);
  world.add_nodes(nodes);
  world.run_for(10s);
  world.apply(fakes::plain_document());
  world.run_for(10s);
  const auto bytes = world.network.bytes;
  const auto messages = world.network.messages;
  const auto reads = world.table.reads;
  const auto commits = world.table.commits;
  const double processor = processor_seconds();
  world.run_for(rest_time);
  const double seconds = std::chrono::duration<double>(rest_time).count();
  const double per_node = double(nodes) * seconds;
  const double cost = processor_seconds() - processor;
  const double rest_bytes = double(world.network.bytes - bytes) / per_node;
  const double rest_messages = double(world.network.messages - messages) / per_node;
  const double rest_reads = double(world.table.reads - reads) / seconds;
  const double rest_commits = double(world.table.commits - commits) / seconds;
  double slowest = 0;
  for (std::uint64_t version = 2; version <= 6; ++version) {
    world.apply(fakes::plain_document(), version % nodes);
    const auto accepted_at = world.clock.now();
    world.run_until([&] { return all_have(world, version); }, 60s);
    slowest =
        std::max(slowest, std::chrono::duration<double>(world.clock.now() - accepted_at).count());
  }
  std::printf("| %zu | %zu | %.0f | %.1f | %.2f | %.1f | %.1f | %.2f |\n", nodes,
              domains * runners_per_domain, rest_bytes, rest_messages, 100 * cost / per_node,
              rest_reads, rest_commits, slowest);
  std::fflush(stdout);
}

} // namespace

int main() {
  std::printf("| nodes | runners | gossip bytes/s a node | exchanges/s a node | processor %% a "
              "node | table reads/s, all | commits/s, all | slowest edit in force s |\n"
              "|---|---|---|---|---|---|---|---|\n");
  for (const std::size_t nodes : {6, 30, 60, 100})
    measure(nodes, 0);
  for (const std::size_t domains : {1, 3, 9})
    measure(6, domains);
  measure(330, 0);
}
