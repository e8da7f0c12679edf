#include "camphorlug/net/curl_client.h"
#include "camphorlug/net/http_server.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/asio_clock.h"
#include "camphorlug/support/notification.h"

#include <algorithm>
#include <array>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr const char* address = "127.0.0.1:28998";

struct server_fixture {
  asio::io_context context;
  support::asio_clock clock{context};
  net::curl_client client{context, clock};

  template<class Condition>
  bool run_until(Condition done) {
    const auto start = std::chrono::steady_clock::now();
    while (!done() && std::chrono::steady_clock::now() - start < 10s)
      context.run_one_for(20ms);
    return done();
  }
};

/// Reads a response and stores its outcome in `outcome`.
support::task<> read_all(net::http_client& client, std::string& outcome) {
  net::client_request request;
  request.address = address;
  try {
    const net::client_response response = co_await client.fetch(std::move(request), 5s);
    outcome = "complete:" + response.body;
  } catch (const net::transport_error&) {
    outcome = "incomplete";
  }
}

} // namespace

BOOST_DATA_TEST_CASE(aborted_response_does_not_look_complete, data::make({false, true}), aborts) {
  server_fixture fixture;
  net::http_server server(
      fixture.context, address,
      [aborts](net::server_request, net::response_writer& writer) -> support::task<> {
        writer.start(200, {});
        co_await writer.write("chunk");
        if (aborts)
          writer.abort();
        else
          writer.finish();
      });
  std::string outcome;
  support::spawn(fixture.context.get_executor(), "read", read_all(fixture.client, outcome));
  BOOST_REQUIRE(fixture.run_until([&] { return !outcome.empty(); }));
  BOOST_TEST(outcome == (aborts ? "incomplete" : "complete:chunk"));
}

BOOST_DATA_TEST_CASE(client_disconnect_is_detected_while_handler_waits, data::make({false, true}),
                     resets) {
  server_fixture fixture;
  bool received = false;
  bool disconnected = false;
  support::notification release(fixture.clock);
  net::http_server server(
      fixture.context, address,
      [&](net::server_request, net::response_writer& writer) -> support::task<> {
        received = true;
        writer.on_disconnect([&] {
          disconnected = true;
          release.notify();
        });
        co_await release.wait_for(5s);
      });
  asio::ip::tcp::socket client_socket(fixture.context);
  client_socket.connect({asio::ip::make_address("127.0.0.1"), 28998});
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  asio::write(client_socket, asio::buffer(request));
  BOOST_REQUIRE(fixture.run_until([&] { return received; }));
  BOOST_TEST(!disconnected);
  if (resets)
    client_socket.set_option(asio::socket_base::linger(true, 0));
  client_socket.close();
  BOOST_TEST(fixture.run_until([&] { return disconnected; }));
  fixture.run_until([&] { return server.in_progress() == 0; });
}

BOOST_AUTO_TEST_CASE(rejected_response_head_closes_the_connection) {
  server_fixture fixture;
  std::vector<std::uint64_t> connections;
  net::http_server server(
      fixture.context, address,
      [&](net::server_request request, net::response_writer& writer) -> support::task<> {
        connections.push_back(request.connection_id);
        net::header_list headers;
        headers.add("Id", "another");
        writer.send(200, headers, "x");
        co_return;
      });
  std::size_t ended = 0;
  const auto fetch = [&](bool accepts) -> support::task<> {
    net::client_request request;
    request.address = address;
    request.connection = net::connection_use::pooled;
    request.accept_head = [accepts](const net::response_head&) { return accepts; };
    try {
      co_await fixture.client.fetch(std::move(request), 5s);
    } catch (const net::transport_error&) {
      // Expected when accept_head rejects the response head.
    }
    ++ended;
  };
  for (const bool accepts : {true, false, true}) {
    const std::size_t before = ended;
    support::spawn(fixture.context.get_executor(), "fetch", fetch(accepts));
    BOOST_REQUIRE(fixture.run_until([&] { return ended > before; }));
  }
  BOOST_REQUIRE(connections.size() == 3);
  BOOST_TEST(connections[0] == connections[1]);
  BOOST_TEST(connections[1] != connections[2]);
}

BOOST_AUTO_TEST_CASE(disconnect_is_detected_for_second_pipelined_request_after_first_response) {
  server_fixture fixture;
  bool disconnected = false;
  support::notification first(fixture.clock);
  support::notification second(fixture.clock);
  net::http_server server(
      fixture.context, address,
      [&](net::server_request request, net::response_writer& writer) -> support::task<> {
        if (request.path == "/first") {
          writer.on_disconnect([] {});
          co_await first.wait_for(5s);
          writer.send(200, {}, "x");
          co_return;
        }
        writer.on_disconnect([&] {
          disconnected = true;
          second.notify();
        });
        co_await second.wait_for(5s);
      });
  asio::ip::tcp::socket client_socket(fixture.context);
  client_socket.connect({asio::ip::make_address("127.0.0.1"), 28998});
  const std::string requests = "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"
                               "GET /second HTTP/1.1\r\nHost: x\r\n\r\n";
  asio::write(client_socket, asio::buffer(requests));
  BOOST_REQUIRE(fixture.run_until([&] { return server.in_progress() == 2; }));
  first.notify();
  BOOST_REQUIRE(fixture.run_until([&] { return server.in_progress() == 1; }));
  client_socket.close();
  BOOST_TEST(fixture.run_until([&] { return disconnected; }));
  fixture.run_until([&] { return server.in_progress() == 0; });
}

BOOST_AUTO_TEST_CASE(request_is_in_progress_until_its_response_is_written) {
  server_fixture fixture;
  bool handled = false;
  // More than the socket buffers of both ends hold.
  const std::size_t body_size = 32 * 1024 * 1024;
  net::http_server server(
      fixture.context, address,
      [&](net::server_request, net::response_writer& writer) -> support::task<> {
        writer.send(200, {}, std::string(body_size, 'x'));
        handled = true;
        co_return;
      });
  asio::ip::tcp::socket client_socket(fixture.context);
  client_socket.connect({asio::ip::make_address("127.0.0.1"), 28998});
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  asio::write(client_socket, asio::buffer(request));
  BOOST_REQUIRE(fixture.run_until([&] { return handled; }));
  BOOST_TEST(server.in_progress() == 1);
  std::size_t received = 0;
  std::vector<char> buffer(256 * 1024);
  std::function<void()> read_on = [&] {
    client_socket.async_read_some(asio::buffer(buffer), [&](const auto& error, std::size_t size) {
      received += size;
      if (!error)
        read_on();
    });
  };
  read_on();
  BOOST_TEST(fixture.run_until([&] { return server.in_progress() == 0; }));
  BOOST_TEST(fixture.run_until([&] { return received > body_size; }));
}

BOOST_AUTO_TEST_CASE(failure_of_a_handler_after_the_response_began_ends_the_response) {
  server_fixture fixture;
  net::http_server server(fixture.context, address,
                          [](net::server_request, net::response_writer& writer) -> support::task<> {
                            writer.start(200, {});
                            co_await writer.write("chunk");
                            throw std::runtime_error("a failure of the handler");
                          });
  std::string outcome;
  support::spawn(fixture.context.get_executor(), "read", read_all(fixture.client, outcome));
  const auto started_at = std::chrono::steady_clock::now();
  BOOST_REQUIRE(fixture.run_until([&] { return !outcome.empty(); }));
  BOOST_TEST(outcome == "incomplete");
  // The client's own time limit of 5 s must not be needed.
  BOOST_TEST((std::chrono::steady_clock::now() - started_at < 4s));
}

BOOST_AUTO_TEST_CASE(disconnect_is_not_reported_after_the_handler_has_returned) {
  server_fixture fixture;
  bool handled = false;
  bool reported = false;
  net::http_server server(
      fixture.context, address,
      [&](net::server_request, net::response_writer& writer) -> support::task<> {
        writer.on_disconnect([&] { reported = true; });
        // More than the socket buffers of both ends hold, so that the response stays unwritten.
        writer.send(200, {}, std::string(32 * 1024 * 1024, 'x'));
        handled = true;
        co_return;
      });
  asio::ip::tcp::socket client_socket(fixture.context);
  client_socket.connect({asio::ip::make_address("127.0.0.1"), 28998});
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  asio::write(client_socket, asio::buffer(request));
  BOOST_REQUIRE(fixture.run_until([&] { return handled; }));
  BOOST_TEST(server.in_progress() == 1);
  client_socket.close();
  BOOST_TEST(fixture.run_until([&] { return server.in_progress() == 0; }));
  BOOST_TEST(!reported);
}

namespace {

const std::string pipelined_requests =
    "GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n";

support::task<> read_until_close(asio::ip::tcp::socket& socket, std::string& received,
                                 bool& closed) {
  std::array<char, 4096> bytes{};
  while (!closed) {
    asio::error_code error;
    const std::size_t size = co_await socket.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    received.append(bytes.data(), size);
    closed = static_cast<bool>(error);
  }
}

} // namespace

// Pipelined requests share a connection, and the response to one may close it.
BOOST_DATA_TEST_CASE(request_reaches_its_handler_only_if_it_can_be_answered,
                     data::make({"close", "abort", "keep"}), first_response) {
  server_fixture fixture;
  const std::string kind = first_response;
  std::vector<std::string> handled;
  net::http_server server(
      fixture.context, address,
      [&](net::server_request request, net::response_writer& writer) -> support::task<> {
        handled.push_back(request.path);
        if (request.path == "/first") {
          co_await fixture.clock.sleep_for(100ms);
          if (kind == "abort") {
            writer.abort();
            co_return;
          }
        }
        net::header_list headers;
        if (request.path == "/first" && kind == "close")
          headers.add("Connection", "close");
        writer.send(200, std::move(headers), "answer to " + request.path);
      });
  asio::ip::tcp::socket client_socket(fixture.context);
  client_socket.connect({asio::ip::make_address("127.0.0.1"), 28998});
  asio::write(client_socket, asio::buffer(pipelined_requests));
  std::string received;
  bool closed = false;
  support::spawn(fixture.context.get_executor(), "read",
                 read_until_close(client_socket, received, closed));
  BOOST_REQUIRE(fixture.run_until(
      [&] { return closed || received.find("answer to /second") != std::string::npos; }));
  const bool second_handled = std::find(handled.begin(), handled.end(), "/second") != handled.end();
  const bool second_answered = received.find("answer to /second") != std::string::npos;
  BOOST_TEST(second_handled == (kind == "keep"));
  BOOST_TEST(second_answered == (kind == "keep"));
  client_socket.close();
  BOOST_TEST(fixture.run_until([&] { return server.in_progress() == 0; }));
}

BOOST_AUTO_TEST_CASE(abort_of_a_pipelined_response_leaves_the_one_before_complete) {
  server_fixture fixture;
  net::http_server server(
      fixture.context, address,
      [&](net::server_request request, net::response_writer& writer) -> support::task<> {
        if (request.path == "/first") {
          co_await fixture.clock.sleep_for(100ms);
          writer.send(200, {}, "whole answer");
        } else {
          writer.abort();
        }
      });
  asio::ip::tcp::socket client_socket(fixture.context);
  client_socket.connect({asio::ip::make_address("127.0.0.1"), 28998});
  asio::write(client_socket, asio::buffer(pipelined_requests));
  std::string received;
  bool closed = false;
  support::spawn(fixture.context.get_executor(), "read",
                 read_until_close(client_socket, received, closed));
  BOOST_REQUIRE(fixture.run_until([&] { return closed; }));
  BOOST_TEST(received.ends_with("whole answer"));
}
