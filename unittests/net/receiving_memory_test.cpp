#include "camphorlug/net/http_server.h"
#include "camphorlug/support/asio_clock.h"
#include "camphorlug/support/memory_budget.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

// Load pattern: callers send large bodies slowly, or stop in their middle, beside callers with
// small requests. Real sockets.

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t port = 28998;
constexpr std::uint16_t other_port = 28997;
constexpr std::size_t limit = 400'000;
constexpr std::size_t body_bytes = 150'000;
/// A connection reads this much at a time.
constexpr std::size_t read_size = 4096;

struct caller {
  explicit caller(asio::io_context& context) : socket(context, asio::ip::tcp::v4()) {
    // Another socket can be bound to the same port then.
    socket.set_option(asio::socket_base::reuse_address(true));
    socket.bind({asio::ip::make_address("127.0.0.1"), 0});
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    socket.non_blocking(true);
  }

  /// Sends what the connection takes.
  void send() {
    asio::error_code error;
    const std::size_t sent = socket.write_some(asio::buffer(unsent), error);
    unsent.erase(0, sent);
  }

  /// Returns the status line of the response that has arrived, or nothing.
  std::string response() {
    char bytes[512];
    asio::error_code error;
    const std::size_t size = socket.read_some(asio::buffer(bytes), error);
    received.append(bytes, size);
    closed = closed || (error && error != asio::error::would_block);
    return received.substr(0, received.find('\r'));
  }

  asio::ip::tcp::socket socket;
  std::string unsent;
  std::string received;
  bool closed = false;
};

struct receiving_fixture {
  receiving_fixture() {
    net::server_limits limits;
    limits.receiving = &budget;
    server.emplace(
        context, "127.0.0.1:" + std::to_string(port),
        [this](net::server_request request, net::response_writer& writer) -> support::task<> {
          ++handled;
          co_await time.sleep_for(handling_time);
          writer.send(200, {}, std::to_string(request.body.size()));
        },
        limits);
  }

  /// Adds a caller that announces a body and sends its first bytes.
  caller& add_caller(std::size_t announced, std::size_t sent) {
    callers.push_back(std::make_unique<caller>(context));
    callers.back()->unsent =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n" +
        std::string(sent, 'x');
    return *callers.back();
  }

  template<class Condition>
  bool run_until(Condition done, std::chrono::seconds longest = 10s) {
    const auto start = std::chrono::steady_clock::now();
    while (!done() && std::chrono::steady_clock::now() - start < longest) {
      for (const auto& each : callers)
        each->send();
      context.run_one_for(10ms);
      most_used = std::max(most_used, budget.used());
    }
    return done();
  }

  support::memory_budget budget{limit};
  asio::io_context context;
  support::asio_clock time{context};
  std::optional<net::http_server> server;
  std::vector<std::unique_ptr<caller>> callers;
  std::chrono::milliseconds handling_time{0};
  std::size_t handled = 0;
  std::size_t most_used = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(receiving_memory)

BOOST_AUTO_TEST_CASE(large_bodies_beyond_the_memory_are_received_in_turn) {
  receiving_fixture world;
  for (int i = 0; i < 12; ++i)
    world.add_caller(body_bytes, body_bytes);
  const bool all_handled = world.run_until([&] { return world.handled == 12; });
  BOOST_TEST(all_handled);
  BOOST_TEST(world.most_used <= limit + 12 * 2 * read_size);
  BOOST_TEST(world.run_until([&] {
    return std::all_of(world.callers.begin(), world.callers.end(), [](const auto& each) {
      return each->response().starts_with("HTTP/1.1 200");
    });
  }));
  BOOST_TEST(world.run_until([&] { return world.budget.used() == 0; }));
}

BOOST_AUTO_TEST_CASE(stalled_bodies_are_refused_and_small_requests_served) {
  receiving_fixture world;
  for (int i = 0; i < 12; ++i)
    world.add_caller(body_bytes, body_bytes - 1);
  world.run_until([&] { return world.budget.used() + body_bytes / 4 > limit; });
  const auto refused = [&] {
    return std::count_if(world.callers.begin(), world.callers.end(), [](const auto& each) {
      return each->response().starts_with("HTTP/1.1 503") || each->closed;
    });
  };
  const auto refused_before = refused();
  caller& small = world.add_caller(1, 1);
  BOOST_TEST(world.run_until([&] { return small.response().starts_with("HTTP/1.1 200"); }));
  // It waits for none of the others.
  BOOST_TEST(refused() == refused_before);
  BOOST_TEST(world.most_used <= limit + 13 * 2 * read_size);
  // Callers that cannot be received are told so, and the memory of others goes on being used.
  BOOST_TEST(world.run_until([&] { return refused() >= 9; }));
  BOOST_TEST(world.handled == 1U);
}

BOOST_AUTO_TEST_CASE(memory_of_a_request_is_free_after_its_response) {
  receiving_fixture world;
  world.handling_time = 100ms;
  caller& only = world.add_caller(body_bytes, body_bytes);
  BOOST_REQUIRE(world.run_until([&] { return world.handled == 1; }));
  BOOST_TEST(world.budget.used() >= body_bytes);
  BOOST_TEST(world.run_until([&] { return only.response().starts_with("HTTP/1.1 200"); }));
  BOOST_TEST(world.run_until([&] { return world.budget.used() == 0; }));
}

BOOST_AUTO_TEST_CASE(memory_of_a_closed_connection_is_free) {
  receiving_fixture world;
  world.add_caller(body_bytes, body_bytes / 2);
  BOOST_REQUIRE(world.run_until([&] { return world.budget.used() >= body_bytes / 2; }));
  world.callers.clear();
  BOOST_TEST(world.run_until([&] { return world.budget.used() == 0; }));
}

// Guards against a request that still arrives and is not waited for, because its client uses the
// same port for a connection to another server of the process.
BOOST_AUTO_TEST_CASE(incomplete_request_is_known_beside_a_connection_from_the_same_port) {
  receiving_fixture world;
  net::http_server other(world.context, "127.0.0.1:" + std::to_string(other_port),
                         [](net::server_request, net::response_writer& writer) -> support::task<> {
                           writer.send(200, {}, "");
                           co_return;
                         });
  caller& first = world.add_caller(body_bytes, 10);
  BOOST_REQUIRE(world.run_until([&] { return world.server->receiving() == 1; }));
  asio::ip::tcp::socket second(world.context, asio::ip::tcp::v4());
  second.set_option(asio::socket_base::reuse_address(true));
  second.bind(first.socket.local_endpoint());
  second.connect({asio::ip::make_address("127.0.0.1"), other_port});
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  asio::write(second, asio::buffer(request));
  BOOST_REQUIRE(world.run_until([&] { return second.available() > 0; }));
  BOOST_TEST(world.server->receiving() == 1U);
  // Each request's memory is its own.
  BOOST_TEST(world.budget.used() >= body_bytes);
  first.unsent = std::string(body_bytes - 10, 'x');
  BOOST_TEST(world.run_until([&] { return first.response().starts_with("HTTP/1.1 200"); }));
  BOOST_TEST(world.server->receiving() == 0U);
  BOOST_TEST(world.run_until([&] { return world.budget.used() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
