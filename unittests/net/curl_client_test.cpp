#include "client_fixture.h"

#include "camphorlug/net/http_server.h"
#include "camphorlug/net/sse_reader.h"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/redirect_error.hpp>
#include <asio/streambuf.hpp>
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

/// Server that closes the connection after reading a request. With `answers_first`, it
/// answers the first request and closes the connection on the next one.
class closing_server {
public:
  closing_server(asio::io_context& context, bool answers_first)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
        answers_first_(answers_first) {
    support::spawn(context.get_executor(), "accept", accept());
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  std::size_t requests = 0;

private:
  support::task<> accept() {
    for (;;) {
      auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
      support::spawn(acceptor_.get_executor(), "serve", serve(std::move(socket)));
    }
  }

  support::task<> serve(asio::ip::tcp::socket socket) {
    asio::streambuf buffer;
    for (;;) {
      asio::error_code error;
      const auto size = co_await asio::async_read_until(
          socket, buffer, "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
      if (error)
        co_return;
      buffer.consume(size);
      ++requests;
      if (!answers_first_ || requests > 1)
        co_return;
      static const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  bool answers_first_;
};

/// Server that answers with a head that never ends.
class endless_head_server {
public:
  endless_head_server(asio::io_context& context, std::string piece)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}), piece_(std::move(piece)) {
    support::spawn(context.get_executor(), "accept", accept());
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  std::size_t sent = 0;

private:
  support::task<> accept() {
    asio::ip::tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
    const std::string start = "HTTP/1.1 200 OK\r\nX-A: ";
    asio::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await asio::async_write(socket, asio::buffer(start), token);
    while (!error)
      sent += co_await asio::async_write(socket, asio::buffer(piece_), token);
  }

  asio::ip::tcp::acceptor acceptor_;
  std::string piece_;
};

net::client_request post_to(const std::string& address) {
  net::client_request request;
  request.method = "POST";
  request.address = address;
  request.body = "";
  return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(refused_connection_reports_request_not_sent) {
  client_fixture fixture;
  fixture.run(post_to("127.0.0.1:1"));
  BOOST_REQUIRE(fixture.failure);
  BOOST_TEST((fixture.failure->progress() == net::request_progress::not_sent));
  BOOST_TEST(!fixture.failure->timed_out());
}

BOOST_DATA_TEST_CASE(received_request_is_not_resent,
                     data::make({false, true}) * data::make({false, true}), answers_first, pooled) {
  client_fixture fixture;
  closing_server server(fixture.context, answers_first);
  net::client_request request = post_to(server.address());
  request.connection = pooled ? net::connection_use::pooled : net::connection_use::fresh;
  if (answers_first)
    fixture.run(request);
  const std::size_t before = server.requests;
  fixture.run(request);
  BOOST_REQUIRE(fixture.failure);
  BOOST_TEST((fixture.failure->progress() == net::request_progress::may_have_been_read));
  // libcurl by itself resends a request whose reused connection breaks.
  BOOST_TEST(server.requests == before + 1);
}

BOOST_DATA_TEST_CASE(response_head_without_end_is_given_up,
                     data::make({std::string("x\r\nX-B: "), std::string(1000, 'x')}), piece) {
  client_fixture fixture;
  endless_head_server server(fixture.context, piece);
  fixture.run(post_to(server.address()));
  BOOST_REQUIRE(fixture.failure);
  BOOST_TEST(!fixture.failure->timed_out());
  // What the sockets hold may have been sent beyond what was read.
  BOOST_TEST(server.sent < 16U * 1024 * 1024);
}

BOOST_AUTO_TEST_CASE(request_is_not_sent_when_send_if_returns_false) {
  client_fixture fixture;
  closing_server server(fixture.context, true);
  auto request = post_to(server.address());
  request.send_if = [] { return false; };
  fixture.run(std::move(request));
  BOOST_REQUIRE(fixture.failure);
  BOOST_TEST((fixture.failure->progress() == net::request_progress::not_sent));
  BOOST_TEST(server.requests == 0);
}

BOOST_AUTO_TEST_CASE(client_and_server_transfer_bodies_both_ways) {
  client_fixture fixture;
  net::http_server server(
      fixture.context, "127.0.0.1:28999",
      [](net::server_request request, net::response_writer& writer) -> support::task<> {
        writer.send(200, {}, request.method + request.path + request.body);
        co_return;
      });
  net::client_request request = post_to("127.0.0.1:28999");
  request.target = "/echo?x=1";
  request.body = std::string(100'000, 'x');
  fixture.run(std::move(request));
  BOOST_TEST(fixture.response.status == 200);
  BOOST_TEST(fixture.response.body == "POST/echo" + std::string(100'000, 'x'));
}

BOOST_AUTO_TEST_CASE(events_are_parsed_with_any_chunk_size) {
  const std::string stream = ": comment\n\nid: 1\ndata: a\n\ndata: b\ndata: c\n\nid:2\ndata:d\n\n";
  for (std::size_t chunk_size = 1; chunk_size < stream.size(); ++chunk_size) {
    net::sse_reader reader;
    std::string parsed;
    for (std::size_t offset = 0; offset < stream.size(); offset += chunk_size) {
      reader.append(std::string_view(stream).substr(offset, chunk_size));
      while (auto event = reader.next())
        parsed += "[" + event->id + "|" + event->data + "]";
    }
    BOOST_TEST(parsed == "[1|a][|b\nc][2|d]");
  }
}
