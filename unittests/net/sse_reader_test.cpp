#include "camphorlug/net/sse_reader.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
namespace data = boost::unit_test::data;

namespace {

struct stream_row {
  const char* name;
  std::string bytes;
};

std::ostream& operator<<(std::ostream& out, const stream_row& row) {
  return out << row.name;
}

// All rows hold the events {1, "a\nb"} and {2, "c"}, and a part of a third one.
const stream_row stream_rows[] = {
    {"line feeds", "id: 1\ndata: a\ndata: b\n\n: comment\n\nid:2\ndata:c\n\ndata: d\n"},
    {"carriage returns",
     "id: 1\r\ndata: a\r\ndata: b\r\n\r\n: comment\r\n\r\nid:2\r\ndata:c\r\n\r\ndata: d\r\n"},
    {"both", "id: 1\r\ndata: a\ndata: b\n\r\n: comment\r\n\nid:2\ndata:c\r\n\ndata: d\r"},
};

} // namespace

BOOST_DATA_TEST_CASE(events_are_split_at_empty_lines,
                     data::make(stream_rows) * data::make({1, 2, 3, 1000}), row, piece) {
  net::sse_reader reader;
  std::vector<net::sse_event> events;
  for (std::size_t begin = 0; begin < row.bytes.size(); begin += piece) {
    reader.append(std::string_view(row.bytes).substr(begin, piece));
    while (auto event = reader.next())
      events.push_back(std::move(*event));
  }
  BOOST_REQUIRE(events.size() == 2u);
  BOOST_TEST(events[0].id == "1");
  BOOST_TEST(events[0].data == "a\nb");
  BOOST_TEST(events[1].id == "2");
  BOOST_TEST(events[1].data == "c");
}
