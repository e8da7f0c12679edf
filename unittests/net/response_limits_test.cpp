#include "client_fixture.h"

#include <asio/ip/tcp.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using camphorlug::net::client_fixture;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// A response that begins with `start` and goes on with copies of `piece`.
struct long_response {
  const char* name;
  std::string start;
  std::string piece;
};

std::ostream& operator<<(std::ostream& out, const long_response& each) {
  return out << each.name;
}

/// Sends a long response to each connection, and closes the connection after `max_pieces`.
class long_response_server {
public:
  long_response_server(asio::io_context& context, support::clock& time, long_response response,
                       std::size_t max_pieces, std::chrono::milliseconds pause)
      : time_(time), acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
        response_(std::move(response)), max_pieces_(max_pieces), pause_(pause) {
    support::spawn(context.get_executor(), "accept", accept());
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  bool sent_all() const { return pieces_ >= max_pieces_; }

private:
  support::task<> accept() {
    asio::ip::tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
    asio::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await asio::async_write(socket, asio::buffer(response_.start), token);
    while (!error && !sent_all()) {
      co_await asio::async_write(socket, asio::buffer(response_.piece), token);
      ++pieces_;
      if (pause_ > 0ms)
        co_await time_.sleep_for(pause_);
    }
  }

  support::clock& time_;
  asio::ip::tcp::acceptor acceptor_;
  long_response response_;
  std::size_t max_pieces_;
  std::chrono::milliseconds pause_;
  std::size_t pieces_ = 0;
};

const std::string line = "X-Junk: " + std::string(1014, 'j') + "\r\n";
const std::string chunk = "400\r\n" + std::string(1024, 'k') + "\r\n";
const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const long_response long_bodies[] = {
    {"a body that ends with its connection", "HTTP/1.1 200 OK\r\n\r\n", std::string(1024, 'b')},
    {"a body in chunks", chunked_head, chunk},
    {"a body of an announced length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
     std::string(1024, 'b')},
    {"a body of an error response", "HTTP/1.1 500 Error\r\n\r\n", std::string(1024, 'b')},
};

const long_response long_heads[] = {
    {"headers", "HTTP/1.1 200 OK\r\n", line},
    {"header lines without a colon", "HTTP/1.1 200 OK\r\nX: 1\r\n",
     std::string(1022, 'j') + "\r\n"},
    {"interim heads", "", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n"},
    {"a header line", "HTTP/1.1 200 OK\r\nX-Junk: ", std::string(1024, 'j')},
    {"trailers", chunked_head + "4\r\nbody\r\n0\r\n", line},
};

const long_response slow_responses[] = {
    {"a body that ends with its connection", "HTTP/1.1 200 OK\r\n\r\n", "b"},
    {"a body in chunks", chunked_head, "1\r\nb\r\n"},
    {"chunks with extensions", chunked_head, "1;extension=1\r\nb\r\n"},
    {"an extension of a chunk", chunked_head + "4\r\nbody\r\n1;", "e"},
    {"trailers", chunked_head + "4\r\nbody\r\n0\r\n", "X: 1\r\n"},
};

/// Far more than the client accepts and the sockets hold.
constexpr std::size_t pieces_of_64_megabytes = 64 * 1024;

} // namespace

BOOST_DATA_TEST_CASE(body_over_the_limit_is_given_up, data::make(long_bodies), each) {
  client_fixture fixture;
  long_response_server server(fixture.context, fixture.clock, each, pieces_of_64_megabytes, 0ms);
  net::client_request request;
  request.address = server.address();
  fixture.run(std::move(request));
  BOOST_REQUIRE(fixture.failure);
  BOOST_TEST(fixture.failure->unreadable());
  BOOST_TEST(!server.sent_all());
}

BOOST_DATA_TEST_CASE(headers_and_trailers_over_the_limit_are_given_up, data::make(long_heads),
                     each) {
  client_fixture fixture;
  long_response_server server(fixture.context, fixture.clock, each, pieces_of_64_megabytes, 0ms);
  net::client_request request;
  request.address = server.address();
  request.limits = net::response_limits::passed_on();
  fixture.run(std::move(request));
  BOOST_REQUIRE(fixture.failure);
  BOOST_TEST(fixture.failure->unreadable());
  BOOST_TEST(!server.sent_all());
}

BOOST_DATA_TEST_CASE(response_over_the_limit_of_its_duration_is_given_up,
                     data::make(slow_responses), each) {
  client_fixture fixture;
  long_response_server server(fixture.context, fixture.clock, each, 150, 20ms);
  net::client_request request;
  request.address = server.address();
  request.limits.duration = 300ms;
  fixture.run(std::move(request));
  BOOST_REQUIRE(fixture.failure);
  BOOST_TEST(fixture.failure->unreadable());
  BOOST_TEST(!server.sent_all());
}

BOOST_AUTO_TEST_CASE(response_within_the_limits_is_read_without_its_trailers) {
  client_fixture fixture;
  const long_response response{"response", chunked_head + chunk + chunk + "0\r\nX-Sum: 1\r\n\r\n",
                               ""};
  long_response_server server(fixture.context, fixture.clock, response, 1, 0ms);
  net::client_request request;
  request.address = server.address();
  request.limits.body_bytes = 2048;
  fixture.run(std::move(request));
  BOOST_REQUIRE(!fixture.failure);
  BOOST_TEST(fixture.response.body.size() == 2048);
  BOOST_TEST(!fixture.response.headers.find("X-Sum"));
}
