#include "camphorlug/node/node_settings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
namespace data = boost::unit_test::data;

namespace {

struct address_row {
  const char* address;
  bool valid;
};

std::ostream& operator<<(std::ostream& out, const address_row& row) {
  return out << row.address;
}

const address_row address_rows[] = {
    {"10.0.0.1:8100", true},   {"10.0.0.1:65535", true}, {"10.0.0.1:65536", false},
    {"10.0.0.1:99999", false}, {"10.0.0.1:81x0", false}, {"10.0.0.1:", false},
    {":8100", false},          {"10.0.0.1", false},      {"10.0.0.1:-1", false},
};

} // namespace

BOOST_DATA_TEST_CASE(address_has_a_port_that_exists, data::make(address_rows), row) {
  const std::string text = "id = \"n\"\ndata_centre = \"d\"\naddress = \"" +
                           std::string(row.address) +
                           "\"\noperator_address = \"10.0.0.1:2\"\n"
                           "platform_address = \"10.0.0.2:1\"\n"
                           "peer_key = \"0123456789abcdef\"\nstream_key = \"0123456789abcdef\"\n";
  support::config_errors errors;
  const auto settings = node::node_settings::parse(text, "node.toml", errors);
  BOOST_TEST(settings.has_value() == row.valid);
}
