#include "client_fixture.h"

#include "camphorlug/net/http_server.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

// Guards against bytes of a request that are no HTTP and reach the handler or another server.

using namespace camphorlug;
using namespace std::string_literals;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint16_t port = 28998;

struct raw_request {
  const char* name;
  std::string lines;
  bool is_valid;
};

std::ostream& operator<<(std::ostream& out, const raw_request& each) {
  return out << each.name;
}

const raw_request raw_requests[] = {
    {"plain", "X-Name: value\r\n", true},
    {"tab in a value", "X-Name: a\tb\r\n", true},
    {"bytes beyond ASCII in a value", "X-Name: \xc3\xa4\xff\r\n", true},
    {"empty value", "X-Name:\r\n", true},
    {"escape in a value", "X-Name: a\x1b[1m\r\n", false},
    {"NUL in a value", "X-Name: a\0b\r\n"s, false},
    {"DEL in a value", "X-Name: a\x7f\r\n", false},
    {"CR in a value", "X-Name: a\rX-Other: b\r\n", false},
    {"escape in a name", "X-N\x1bme: a\r\n", false},
    {"blank in a name", "X Name: a\r\n", false},
    {"blank before the colon", "X-Name : a\r\n", false},
    {"no name", ": a\r\n", false},
    {"no colon", "X-Name\r\n", false},
    {"length that is no number", "Content-Length: 0x5\r\n", false},
    {"two lengths", "Content-Length: 0\r\nContent-Length: 1\r\n", false},
    {"length beside chunks", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", false},
    {"negative length", "Content-Length: -1\r\n", false},
};

net::header_list with(const std::string& name, const std::string& value) {
  net::header_list headers;
  headers.add(name, value);
  return headers;
}

const net::header_list malformed_headers[] = {
    with("X-Name", "a\r\nX-Other: b"), with("X-Name", "a\nb"), with("X-Name", "a\0b"s),
    with("X-Name\r\nX-Other", "b"),    with("X Name", "b"),    with("", "b"),
};

} // namespace

BOOST_DATA_TEST_CASE(malformed_request_is_refused, data::make(raw_requests), each) {
  asio::io_context context;
  std::size_t handled = 0;
  net::http_server server(
      context, "127.0.0.1:" + std::to_string(port),
      [&](net::server_request, net::response_writer& writer) -> support::task<> {
        ++handled;
        writer.send(200, {}, "x");
        co_return;
      });
  asio::ip::tcp::socket caller(context);
  caller.connect({asio::ip::make_address("127.0.0.1"), port});
  caller.non_blocking(true);
  asio::write(caller, asio::buffer("GET / HTTP/1.1\r\nHost: x\r\n" + each.lines + "\r\n"));
  std::string received;
  bool closed = false;
  const auto until = std::chrono::steady_clock::now() + 5s;
  while (received.empty() && !closed && std::chrono::steady_clock::now() < until) {
    context.run_one_for(5ms);
    char bytes[512];
    asio::error_code error;
    received.append(bytes, caller.read_some(asio::buffer(bytes), error));
    closed = error && error != asio::error::would_block;
  }
  BOOST_TEST(handled == (each.is_valid ? 1 : 0));
  if (each.is_valid)
    BOOST_TEST(received.starts_with("HTTP/1.1 200 "));
  else
    BOOST_TEST((closed || received.starts_with("HTTP/1.1 400 ")));
}

BOOST_DATA_TEST_CASE(malformed_request_is_not_sent, data::xrange(std::size(malformed_headers)),
                     index) {
  net::client_fixture fixture;
  std::size_t handled = 0;
  const std::string address = "127.0.0.1:" + std::to_string(port);
  net::http_server server(
      fixture.context, address,
      [&](net::server_request, net::response_writer& writer) -> support::task<> {
        ++handled;
        writer.send(200, {}, "x");
        co_return;
      });
  net::client_request request;
  request.address = address;
  request.headers = malformed_headers[index];
  fixture.run(std::move(request));
  BOOST_REQUIRE(fixture.failure);
  BOOST_TEST((fixture.failure->progress() == net::request_progress::not_sent));
  BOOST_TEST(handled == 0);
}
