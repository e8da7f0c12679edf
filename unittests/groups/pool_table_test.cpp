#include "camphorlug/groups/pool_table.h"
#include "camphorlug/groups/table_lease.h"

#include "fakes/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

/// One node's lease and copy of the pool's rows.
struct lease_holder {
  lease_holder(fakes::simulated_cluster& world, const std::string& name)
      : store(world.clock, world.table), lease(store, world.clock, world.random, "pool", name),
        table(store, rows, lease, world.random, "pool") {}

  fakes::fake_store store;
  table::row_cache rows;
  groups::table_lease lease;
  groups::pool_table table;
};

support::task<> acquire(fakes::simulated_cluster& world, lease_holder& self) {
  while (!self.lease.held()) {
    co_await self.lease.try_acquire();
    co_await world.clock.sleep_for(1s);
  }
  co_await self.table.load();
}

groups::placement_step form_step(const std::string& first, const std::string& second) {
  groups::placement_step step;
  step.kind = groups::step_kind::form;
  step.fabric_domain = "f";
  step.assignments = {{0, {first, first}}, {1, {second, second}}};
  return step;
}

support::task<> form(lease_holder& self, groups::placement_step step,
                     std::optional<bool>& written) {
  const documents::model_spec spec;
  const std::string service = "service";
  written = co_await self.table.write(std::move(step), service, spec);
}

std::optional<bool> form_now(fakes::simulated_cluster& world, lease_holder& self,
                             const groups::placement_step& step) {
  std::optional<bool> written;
  support::spawn(world.context.get_executor(), "form", form(self, step, written));
  world.run_for(1s);
  return written;
}

void acquire_lease_and_load(fakes::simulated_cluster& world, lease_holder& self) {
  support::spawn(world.context.get_executor(), "acquire", acquire(world, self));
  BOOST_REQUIRE(world.run_until([&] { return self.table.loaded(); }, 30s));
}

} // namespace

BOOST_AUTO_TEST_CASE(paused_holder_cannot_write_after_takeover) {
  fakes::simulated_cluster world;
  lease_holder first(world, "first");
  lease_holder second(world, "second");
  acquire_lease_and_load(world, first);
  // The first holder neither renews nor checks whether its term has expired, as if
  // its process were paused.
  acquire_lease_and_load(world, second);
  BOOST_TEST(!first.lease.held());
  BOOST_TEST(form_now(world, first, form_step("a", "b")).value() == false);
  BOOST_TEST(world.table.rows.scan("group/").empty());
  BOOST_TEST(form_now(world, second, form_step("a", "b")).value() == true);
  world.clock.shut_down();
}

BOOST_AUTO_TEST_CASE(instance_with_a_row_cannot_be_given_to_another_group) {
  fakes::simulated_cluster world;
  lease_holder only(world, "only");
  acquire_lease_and_load(world, only);
  BOOST_TEST(form_now(world, only, form_step("a", "b")).value() == true);
  // Another writer assigns the instance after the holder has read the rows.
  world.table.rows.commit({{}, {{"instance/pool/c", "{\"group\":\"g-other\"}"}}});
  BOOST_TEST(form_now(world, only, form_step("c", "d")).value() == false);
  world.clock.shut_down();
}

BOOST_AUTO_TEST_CASE(later_lease_holder_uses_larger_order_numbers) {
  fakes::simulated_cluster world;
  lease_holder first(world, "first");
  lease_holder second(world, "second");
  acquire_lease_and_load(world, first);
  form_now(world, first, form_step("a", "b"));
  const std::uint64_t before = first.table.newest_number();
  acquire_lease_and_load(world, second);
  BOOST_TEST(second.table.newest_number() > before);
  world.clock.shut_down();
}

BOOST_AUTO_TEST_CASE(replaced_rank_releases_its_standby) {
  fakes::simulated_cluster world;
  lease_holder only(world, "only");
  acquire_lease_and_load(world, only);
  BOOST_TEST(form_now(world, only, form_step("a", "b")).value() == true);
  groups::placement_step step;
  step.kind = groups::step_kind::prepare;
  step.group = only.table.groups().begin()->first;
  step.assignments = {{0, {"c", "c"}}};
  BOOST_TEST(form_now(world, only, step).value() == true);
  step.assignments = {{1, {"d", "d"}}};
  BOOST_TEST(form_now(world, only, step).value() == true);
  step.kind = groups::step_kind::replace;
  step.assignments = {{0, {"e", "e"}}};
  BOOST_TEST(form_now(world, only, step).value() == true);
  const groups::group_record& record = only.table.groups().begin()->second.record;
  BOOST_TEST(record.members.front().instance == "e");
  BOOST_REQUIRE(record.standbys.size() == 1u);
  BOOST_TEST(record.standbys.front().member.instance == "d");
  for (const char* freed : {"a", "c"}) {
    BOOST_TEST(!only.table.instances().contains(freed));
    BOOST_TEST(world.table.rows.scan(std::string("instance/pool/") + freed).empty());
  }
  world.clock.shut_down();
}
