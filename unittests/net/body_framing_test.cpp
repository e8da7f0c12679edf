#include "camphorlug/net/body_framing.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using net::body_framing;
namespace data = boost::unit_test::data;

namespace {

struct framed_head {
  const char* name;
  const char* method;
  int status;
  net::header_list headers;
  body_framing framing;
};

std::ostream& operator<<(std::ostream& out, const framed_head& each) {
  return out << each.name;
}

net::header_list with(const char* name, const char* value) {
  net::header_list headers;
  headers.add(name, value);
  return headers;
}

const std::vector<framed_head> framed_heads = {
    {"length", "GET", 200, with("Content-Length", "5"), body_framing::length},
    {"chunks", "GET", 200, with("transfer-encoding", "Chunked"), body_framing::chunks},
    {"chunks last", "GET", 200, with("Transfer-Encoding", "gzip, chunked"), body_framing::chunks},
    {"not chunked", "GET", 200, with("Transfer-Encoding", "gzip"), body_framing::connection_close},
    {"neither", "POST", 404, with("Connection", "close"), body_framing::connection_close},
    {"no content", "POST", 204, {}, body_framing::length},
    {"not modified", "GET", 304, {}, body_framing::length},
    {"head only", "HEAD", 200, {}, body_framing::length},
};

} // namespace

BOOST_DATA_TEST_CASE(framing_follows_from_the_head, data::make(framed_heads), each) {
  net::response_head head;
  head.status = each.status;
  head.headers = each.headers;
  BOOST_TEST((net::framing_of(each.method, head) == each.framing));
}
