#include "camphorlug/net/connection_budget.h"
#include "camphorlug/net/http_server.h"
#include "camphorlug/support/asio_clock.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

// Load pattern: callers open a connection for each request and keep it. Real sockets.

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint16_t port = 28998;
constexpr std::size_t limit = 20;

class client {
public:
  explicit client(asio::io_context& context) : socket_(context) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), port});
    socket_.non_blocking(true);
  }

  void send(const std::string& text) { asio::write(socket_, asio::buffer(text)); }
  void request(const std::string& path) { send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"); }
  void close() { socket_.close(); }

  bool is_closed() {
    read();
    return closed_;
  }

  /// Number of complete responses.
  std::size_t answered() {
    read();
    std::size_t count = 0;
    for (auto at = received_.find("answer"); at != std::string::npos;
         at = received_.find("answer", at + 1))
      ++count;
    return count;
  }

  const std::string& received() {
    read();
    return received_;
  }

private:
  void read() {
    char bytes[1024];
    asio::error_code error;
    while (!error) {
      const std::size_t size = socket_.read_some(asio::buffer(bytes), error);
      received_.append(bytes, size);
    }
    closed_ = closed_ || error != asio::error::would_block;
  }

  asio::ip::tcp::socket socket_;
  std::string received_;
  bool closed_ = false;
};

struct budget_fixture {
  explicit budget_fixture(bool serves_callers = true) {
    net::server_limits limits;
    limits.connections = &budget;
    limits.serves_callers = serves_callers;
    server = std::make_unique<net::http_server>(
        context, "127.0.0.1:" + std::to_string(port),
        [this](net::server_request request, net::response_writer& writer) -> support::task<> {
          while (request.path == "/slow" && !released)
            co_await clock.sleep_for(5ms);
          writer.send(200, {}, "answer");
        },
        limits);
  }

  client& connect() {
    clients.push_back(std::make_unique<client>(context));
    return *clients.back();
  }

  /// Connects a client that has an answer and keeps its connection.
  client& connect_idle() {
    client& added = connect();
    added.request("/");
    run_until([&] { return added.answered() == 1; });
    return added;
  }

  template<class Condition>
  bool run_until(Condition done, std::chrono::milliseconds limit = 10s) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < until)
      context.run_one_for(5ms);
    return done();
  }

  void run_for(std::chrono::milliseconds time) {
    run_until([] { return false; }, time);
  }

  std::size_t closed() const {
    return static_cast<std::size_t>(std::count_if(
        clients.begin(), clients.end(), [](const auto& each) { return each->is_closed(); }));
  }

  // The budget must outlive the connections, which end with `context`.
  asio::io_context idle_context;
  support::asio_clock idle_clock{idle_context};
  net::connection_budget budget{idle_clock, limit};
  asio::io_context context;
  support::asio_clock clock{context};
  std::unique_ptr<net::http_server> server;
  bool released = false;
  std::vector<std::unique_ptr<client>> clients;
};

} // namespace

// Guards against a server whose idle connections use up the descriptors of its process.
BOOST_AUTO_TEST_CASE(longest_idle_connections_are_closed_for_new_ones) {
  budget_fixture world;
  for (std::size_t index = 0; index < limit + 10; ++index)
    BOOST_TEST(world.connect_idle().answered() == 1);
  world.run_for(50ms);
  // The last request needed a descriptor for its call, too.
  BOOST_TEST(world.closed() == 11);
  for (std::size_t index = 0; index < world.clients.size(); ++index)
    BOOST_TEST(world.clients[index]->is_closed() == (index < 11));
  BOOST_TEST(world.budget.open() == limit - 1);
  BOOST_TEST(world.budget.idle() == limit - 1);
  BOOST_TEST(world.budget.closed_for_room() == 11);
  BOOST_TEST(world.budget.refused() == 0);
}

BOOST_AUTO_TEST_CASE(connections_in_use_are_not_closed_for_new_ones) {
  budget_fixture world;
  client& waits = world.connect();
  waits.request("/slow");
  client& sends = world.connect();
  sends.send("GET / HT");
  world.run_for(50ms);
  for (std::size_t index = 0; index < 2 * limit; ++index)
    world.connect_idle();
  BOOST_TEST(!waits.is_closed());
  BOOST_TEST(!sends.is_closed());
  sends.send("TP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(world.run_until([&] { return sends.answered() == 1; }));
  world.released = true;
  BOOST_TEST(world.run_until([&] { return waits.answered() == 1; }));
}

BOOST_DATA_TEST_CASE(callers_beyond_the_limit_are_refused_at_once, data::make({true, false}),
                     serves_callers) {
  budget_fixture world(serves_callers);
  // Each takes two descriptors.
  for (std::size_t index = 0; index < limit / 2; ++index)
    world.connect().request("/slow");
  BOOST_TEST(world.run_until([&] { return world.server->in_progress() == limit / 2; }));
  client& further = world.connect();
  further.request("/");
  if (serves_callers) {
    BOOST_TEST(world.run_until([&] { return further.is_closed(); }));
    BOOST_TEST(further.received().starts_with("HTTP/1.1 503 "));
    BOOST_TEST(world.budget.refused() == 1);
  } else {
    BOOST_TEST(world.run_until([&] { return further.answered() == 1; }));
    BOOST_TEST(world.budget.refused() == 0);
  }
  world.released = true;
  BOOST_TEST(world.run_until([&] { return world.server->in_progress() == 0; }));
  for (std::size_t index = 0; index < limit / 2; ++index)
    BOOST_TEST(world.clients[index]->answered() == 1);
  client& later = world.connect_idle();
  BOOST_TEST(later.answered() == 1);
}

BOOST_DATA_TEST_CASE(callers_connections_are_closed_at_the_idle_limit, data::make({true, false}),
                     serves_callers) {
  budget_fixture world(serves_callers);
  client& first = world.connect_idle();
  client& unused = world.connect();
  client& waits = world.connect();
  waits.request("/slow");
  world.run_for(300ms);
  client& second = world.connect_idle();
  world.budget.close_idle_for(200ms);
  world.run_for(50ms);
  BOOST_TEST(first.is_closed() == serves_callers);
  BOOST_TEST(unused.is_closed() == serves_callers);
  BOOST_TEST(!waits.is_closed());
  BOOST_TEST(!second.is_closed());
  world.released = true;
  BOOST_TEST(world.run_until([&] { return waits.answered() == 1; }));
}

BOOST_AUTO_TEST_CASE(request_that_has_arrived_keeps_its_idle_connection) {
  budget_fixture world;
  client& caller = world.connect_idle();
  world.run_for(20ms);
  caller.request("/");
  // The server has not read the request yet.
  world.budget.close_idle_for(0ms);
  BOOST_TEST(world.run_until([&] { return caller.answered() == 2; }));
}

BOOST_AUTO_TEST_CASE(closed_connections_are_not_counted) {
  budget_fixture world;
  for (std::size_t index = 0; index < 5; ++index)
    world.connect_idle();
  world.connect().request("/slow");
  BOOST_TEST(world.run_until([&] { return world.server->in_progress() == 1; }));
  for (const auto& each : world.clients)
    each->close();
  world.released = true;
  BOOST_TEST(world.run_until([&] { return world.budget.open() == 0; }));
  BOOST_TEST(world.budget.idle() == 0);
}
