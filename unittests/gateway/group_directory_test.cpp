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

/// The defect of a three-member group: of its member with rank 2 or of its head.
enum class group_defect {
  none,
  absent,
  draining,
  joining,
  broken,
  older_epoch,
  other_group,
  same_rank,
  closing_head,
  other_model,
};

constexpr group_defect group_defects[] = {group_defect::none,         group_defect::absent,
                                          group_defect::draining,     group_defect::joining,
                                          group_defect::broken,       group_defect::older_epoch,
                                          group_defect::other_group,  group_defect::same_rank,
                                          group_defect::closing_head, group_defect::other_model};

std::ostream& operator<<(std::ostream& out, group_defect each) {
  return out << "defect " << static_cast<int>(each);
}

struct directory_fixture {
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::target_registry registry{clock};
  gateway::active_config config{clock};
  gateway::group_directory directory{registry, config};

  directory_fixture() {
    auto initial = std::make_shared<gateway::routing_config>();
    initial->version = 1;
    gateway::service_spec service;
    service.name = "engines";
    service.engine.emplace();
    gateway::model_profile model;
    model.name = "model";
    model.size = 3;
    service.engine->models.push_back(model);
    initial->services["engines"] = service;
    config.update_if_newer(initial);
  }

  void add(std::size_t rank, group_defect defect) {
    gateway::target_entry entry;
    entry.id = "i" + std::to_string(rank);
    entry.service = "engines";
    entry.model = "model";
    gateway::group_membership membership{"g", 7, rank, membership_state::ready};
    if (rank == 0) {
      membership.state =
          defect == group_defect::closing_head ? membership_state::closing : membership_state::open;
      entry.model = defect == group_defect::other_model ? "another" : "model";
    }
    if (rank == 2)
      apply_defect(defect, entry, membership);
    entry.membership = membership;
    if (rank != 2 || defect != group_defect::absent)
      registry.update(entry.id, rank + 1, entry);
  }

  static void apply_defect(group_defect defect, gateway::target_entry& entry,
                           gateway::group_membership& membership) {
    entry.draining = defect == group_defect::draining;
    if (defect == group_defect::joining)
      membership.state = membership_state::joining;
    if (defect == group_defect::broken)
      membership.state = membership_state::broken;
    if (defect == group_defect::older_epoch)
      membership.epoch = 6;
    if (defect == group_defect::other_group)
      membership.group = "h";
    if (defect == group_defect::same_rank)
      membership.rank = 1;
  }
};

} // namespace

BOOST_DATA_TEST_CASE(only_complete_groups_serve, data::make(group_defects), defect) {
  directory_fixture fixture;
  for (std::size_t rank = 0; rank < 3; ++rank)
    fixture.add(rank, defect);
  const bool serves = !fixture.directory.serving("engines", "model").empty();
  BOOST_TEST(serves == (defect == group_defect::none));
  if (serves)
    BOOST_TEST(fixture.directory.serving("engines", "model").front().members.front() == "i0");
}

BOOST_AUTO_TEST_CASE(group_stops_serving_when_a_member_is_removed) {
  directory_fixture fixture;
  for (std::size_t rank = 0; rank < 3; ++rank)
    fixture.add(rank, group_defect::none);
  BOOST_TEST(fixture.directory.serving("engines", "model").size() == 1);
  fixture.registry.remove("i1", 20);
  BOOST_TEST(fixture.directory.serving("engines", "model").empty());
}
