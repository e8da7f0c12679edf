#include "client_fixture.h"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/redirect_error.hpp>
#include <asio/streambuf.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// Guards against MIXED: a field that is no HTTP is passed on to a caller.

using namespace camphorlug;
using camphorlug::net::client_fixture;
using namespace std::string_literals;
namespace data = boost::unit_test::data;

namespace {

/// Answers each connection with the same bytes and closes it.
class raw_server {
public:
  raw_server(asio::io_context& context, std::string answer)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}), answer_(std::move(answer)) {
    support::spawn(context.get_executor(), "accept", accept());
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

private:
  support::task<> accept() {
    for (;;) {
      auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
      asio::streambuf buffer;
      asio::error_code error;
      co_await asio::async_read_until(socket, buffer, "\r\n\r\n",
                                      asio::redirect_error(asio::use_awaitable, error));
      co_await asio::async_write(socket, asio::buffer(answer_),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  std::string answer_;
};

struct raw_head {
  const char* name;
  std::string lines;
  bool is_readable;
};

std::ostream& operator<<(std::ostream& out, const raw_head& each) {
  return out << each.name;
}

const raw_head raw_heads[] = {
    {"sound", "HTTP/1.1 200 OK\r\nX-Name: a\tb \xc3\xa9\r\nContent-Length: 2\r\n", true},
    {"marks in a name", "HTTP/1.1 200 OK\r\nX_n!a~m|e: v\r\nContent-Length: 2\r\n", true},
    {"no reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n", true},
    {"equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n", true},
    {"control character in a name", "HTTP/1.1 200 OK\r\nCo\x1bn: v\r\nContent-Length: 2\r\n",
     false},
    {"space in a name", "HTTP/1.1 200 OK\r\nX Name: v\r\nContent-Length: 2\r\n", false},
    {"space before the colon", "HTTP/1.1 200 OK\r\nX-Name : v\r\nContent-Length: 2\r\n", false},
    {"empty name", "HTTP/1.1 200 OK\r\n: v\r\nContent-Length: 2\r\n", false},
    {"no colon", "HTTP/1.1 200 OK\r\nX-Name\r\nContent-Length: 2\r\n", false},
    {"CR in a value", "HTTP/1.1 200 OK\r\nX-Name: a\rX: b\r\nContent-Length: 2\r\n", false},
    {"CR at the end of a value", "HTTP/1.1 200 OK\r\nX-Name: a\r\r\nContent-Length: 2\r\n", false},
    {"NUL in a value", "HTTP/1.1 200 OK\r\nX-Name: a\0b\r\nContent-Length: 2\r\n"s, false},
    {"control character in a value", "HTTP/1.1 200 OK\r\nX: \x07\r\nContent-Length: 2\r\n", false},
    {"differing lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n", false},
    {"length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n", false},
    {"status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n", false},
    {"status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n", false},
    // Guards against MIXED: an answer whose status is none is passed on.
    {"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n", false},
    {"status below 100", "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n", false},
    {"highest status", "HTTP/1.1 599 OK\r\nContent-Length: 2\r\n", true},
    {"status above 599", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n", false},
    {"status 999", "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n", false},
};

} // namespace

BOOST_DATA_TEST_CASE(malformed_head_is_unreadable, data::make(raw_heads), each) {
  client_fixture fixture;
  raw_server server(fixture.context, each.lines + "\r\nok");
  net::client_request request;
  request.address = server.address();
  fixture.run(std::move(request));
  BOOST_TEST(!fixture.failure == each.is_readable);
  if (each.is_readable)
    BOOST_TEST(fixture.response.body == "ok");
}
