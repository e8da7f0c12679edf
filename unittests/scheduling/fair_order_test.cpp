#include "camphorlug/scheduling/fair_order.h"

#include <boost/test/unit_test.hpp>

using camphorlug::scheduling::fair_order;

BOOST_AUTO_TEST_CASE(organisations_take_turns) {
  fair_order order;
  for (int i = 0; i < 3; ++i)
    order.charge(1, "greedy", 100);
  BOOST_TEST((order.next(1, "modest") < order.next(1, "greedy")));
}
