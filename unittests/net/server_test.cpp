#include "camphorlug/net/curl_client.h"
#include "camphorlug/net/http_server.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/asio_clock.h"
#include "camphorlug/support/notification.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr const char* address = "127.0.0.1:28998";

struct server_world {
  asio::io_context context;
  support::asio_clock clock{context};
  net::curl_client client{context, clock};

  template<class Condition>
  bool run_until(Condition done) {
    const auto began = std::chrono::steady_clock::now();
    while (!done() && std::chrono::steady_clock::now() - began < 10s)
      context.run_one_for(20ms);
    return done();
  }
};

/// Reads an answer to its end and says how it ended.
support::task<> read_all(net::http_client& client, std::string& ending) {
  net::client_request request;
  request.address = address;
  try {
    const net::client_response response = co_await client.fetch(std::move(request), 5s);
    ending = "whole:" + response.body;
  } catch (const net::transport_error&) {
    ending = "broken";
  }
}

} // namespace

BOOST_DATA_TEST_CASE(aborted_stream_does_not_look_whole, data::make({false, true}), aborts) {
  server_world world;
  net::http_server server(
      world.context, address,
      [aborts](net::server_request, net::response_writer& writer) -> support::task<> {
        writer.start(200, {});
        co_await writer.write("piece");
        if (aborts)
          writer.abort();
        else
          writer.finish();
      });
  std::string ending;
  support::spawn(world.context.get_executor(), "read", read_all(world.client, ending));
  BOOST_REQUIRE(world.run_until([&] { return !ending.empty(); }));
  BOOST_TEST(ending == (aborts ? "broken" : "whole:piece"));
}

BOOST_DATA_TEST_CASE(caller_that_closes_is_noticed_at_once, data::make({false, true}), resets) {
  server_world world;
  bool received = false;
  bool gone = false;
  support::notification release(world.clock);
  net::http_server server(
      world.context, address,
      [&](net::server_request, net::response_writer& writer) -> support::task<> {
        received = true;
        writer.on_disconnect([&] {
          gone = true;
          release.notify();
        });
        co_await release.wait_for(5s);
      });
  asio::ip::tcp::socket caller(world.context);
  caller.connect({asio::ip::make_address("127.0.0.1"), 28998});
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  asio::write(caller, asio::buffer(request));
  BOOST_REQUIRE(world.run_until([&] { return received; }));
  BOOST_TEST(!gone);
  if (resets)
    caller.set_option(asio::socket_base::linger(true, 0));
  caller.close();
  BOOST_TEST(world.run_until([&] { return gone; }));
  world.run_until([&] { return server.in_progress() == 0; });
}

BOOST_AUTO_TEST_CASE(answer_of_another_request_spoils_its_connection) {
  server_world world;
  std::vector<std::uint64_t> connections;
  net::http_server server(
      world.context, address,
      [&](net::server_request request, net::response_writer& writer) -> support::task<> {
        connections.push_back(request.connection);
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
      co_await world.client.fetch(std::move(request), 5s);
    } catch (const net::transport_error&) {
      // Expected where the head is not accepted.
    }
    ++ended;
  };
  for (const bool accepts : {true, false, true}) {
    const std::size_t before = ended;
    support::spawn(world.context.get_executor(), "fetch", fetch(accepts));
    BOOST_REQUIRE(world.run_until([&] { return ended > before; }));
  }
  BOOST_REQUIRE(connections.size() == 3);
  BOOST_TEST(connections[0] == connections[1]);
  BOOST_TEST(connections[1] != connections[2]);
}

BOOST_AUTO_TEST_CASE(caller_of_a_second_request_is_watched_beyond_the_first_ones_answer) {
  server_world world;
  bool gone = false;
  support::notification first(world.clock);
  support::notification second(world.clock);
  net::http_server server(
      world.context, address,
      [&](net::server_request request, net::response_writer& writer) -> support::task<> {
        if (request.path == "/first") {
          writer.on_disconnect([] {});
          co_await first.wait_for(5s);
          writer.send(200, {}, "x");
          co_return;
        }
        writer.on_disconnect([&] {
          gone = true;
          second.notify();
        });
        co_await second.wait_for(5s);
      });
  asio::ip::tcp::socket caller(world.context);
  caller.connect({asio::ip::make_address("127.0.0.1"), 28998});
  const std::string requests = "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"
                               "GET /second HTTP/1.1\r\nHost: x\r\n\r\n";
  asio::write(caller, asio::buffer(requests));
  BOOST_REQUIRE(world.run_until([&] { return server.in_progress() == 2; }));
  first.notify();
  BOOST_REQUIRE(world.run_until([&] { return server.in_progress() == 1; }));
  caller.close();
  BOOST_TEST(world.run_until([&] { return gone; }));
  world.run_until([&] { return server.in_progress() == 0; });
}
