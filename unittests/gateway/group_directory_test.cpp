#include "camphorlug/gateway/group_directory.h"

#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using gateway::membership_state;
namespace data = boost::unit_test::data;

namespace {

/// What is wrong with the third of a group's three members, or with its head.
enum class flaw {
  none,
  absent,
  draining,
  joining,
  broken,
  older_epoch,
  other_group,
  same_rank,
  closed_head,
  other_model,
};

constexpr flaw flaws[] = {flaw::none,        flaw::absent,      flaw::draining,    flaw::joining,
                          flaw::broken,      flaw::older_epoch, flaw::other_group, flaw::same_rank,
                          flaw::closed_head, flaw::other_model};

std::ostream& operator<<(std::ostream& out, flaw each) {
  return out << "flaw " << static_cast<int>(each);
}

struct directory_world {
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::target_registry registry{clock};
  gateway::active_config config{clock};
  gateway::group_directory directory{registry, config};

  directory_world() {
    auto first = std::make_shared<gateway::routing_config>();
    first->version = 1;
    gateway::service_spec service;
    service.name = "engines";
    service.engine.emplace();
    gateway::model_profile model;
    model.name = "model";
    model.size = 3;
    service.engine->models.push_back(model);
    first->services["engines"] = service;
    config.update_if_newer(first);
  }

  void add(std::size_t rank, flaw third) {
    gateway::target_entry entry;
    entry.id = "i" + std::to_string(rank);
    entry.service = "engines";
    entry.model = "model";
    gateway::group_membership place{"g", 7, rank, membership_state::ready};
    if (rank == 0) {
      place.state = third == flaw::closed_head ? membership_state::closing : membership_state::open;
      entry.model = third == flaw::other_model ? "another" : "model";
    }
    if (rank == 2)
      spoil(third, entry, place);
    entry.membership = place;
    if (rank != 2 || third != flaw::absent)
      registry.update(entry.id, rank + 1, entry);
  }

  static void spoil(flaw third, gateway::target_entry& entry, gateway::group_membership& place) {
    entry.draining = third == flaw::draining;
    if (third == flaw::joining)
      place.state = membership_state::joining;
    if (third == flaw::broken)
      place.state = membership_state::broken;
    if (third == flaw::older_epoch)
      place.epoch = 6;
    if (third == flaw::other_group)
      place.group = "h";
    if (third == flaw::same_rank)
      place.rank = 1;
  }
};

} // namespace

BOOST_DATA_TEST_CASE(only_whole_groups_serve, data::make(flaws), third) {
  directory_world world;
  for (std::size_t rank = 0; rank < 3; ++rank)
    world.add(rank, third);
  const bool serves = !world.directory.serving("engines", "model").empty();
  BOOST_TEST(serves == (third == flaw::none));
  if (serves)
    BOOST_TEST(world.directory.serving("engines", "model").front().members.front() == "i0");
}

BOOST_AUTO_TEST_CASE(group_is_out_as_soon_as_a_member_is) {
  directory_world world;
  for (std::size_t rank = 0; rank < 3; ++rank)
    world.add(rank, flaw::none);
  BOOST_TEST(world.directory.serving("engines", "model").size() == 1);
  world.registry.remove("i1", 20);
  BOOST_TEST(world.directory.serving("engines", "model").empty());
}
