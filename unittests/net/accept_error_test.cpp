#include "camphorlug/net/http_server.h"
#include "camphorlug/support/asio_clock.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <memory>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint16_t port = 28998;
/// More than the server has accept operations in progress.
constexpr std::size_t waiting_clients = 12;

/// Leaves the process no descriptors until it is destroyed.
class descriptor_shortage {
public:
  descriptor_shortage() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int next = dup(STDIN_FILENO);
    close(next);
    rlimit none = before_;
    none.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &none);
  }
  descriptor_shortage(const descriptor_shortage&) = delete;
  descriptor_shortage& operator=(const descriptor_shortage&) = delete;
  ~descriptor_shortage() { setrlimit(RLIMIT_NOFILE, &before_); }

private:
  rlimit before_{};
};

class client {
public:
  explicit client(asio::io_context& context) : socket_(context) {
    socket_.open(asio::ip::tcp::v4());
  }

  /// Connects with the descriptor that it has. The server need not accept for that.
  void send() {
    socket_.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket_, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    socket_.non_blocking(true);
  }

  bool is_answered() {
    char bytes[512];
    asio::error_code error;
    return socket_.read_some(asio::buffer(bytes), error) > 0;
  }

private:
  asio::ip::tcp::socket socket_;
};

} // namespace

// Guards against a server that accepts no connection any more after its process was out of
// descriptors for a moment.
BOOST_DATA_TEST_CASE(server_accepts_again_after_a_shortage_of_descriptors, data::make({1, 3}),
                     shortages) {
  asio::io_context context;
  net::http_server server(context, "127.0.0.1:" + std::to_string(port),
                          [](net::server_request, net::response_writer& writer) -> support::task<> {
                            writer.send(200, {}, "x");
                            co_return;
                          });
  for (int round = 0; round < shortages; ++round) {
    std::vector<std::unique_ptr<client>> clients;
    for (std::size_t index = 0; index < waiting_clients; ++index)
      clients.push_back(std::make_unique<client>(context));
    {
      const descriptor_shortage shortage;
      for (const auto& each : clients)
        each->send();
      context.run_for(200ms);
    }
    std::size_t answered = 0;
    const auto until = std::chrono::steady_clock::now() + 10s;
    for (const auto& each : clients) {
      bool is_answered = false;
      while (!is_answered && std::chrono::steady_clock::now() < until) {
        context.run_one_for(20ms);
        is_answered = each->is_answered();
      }
      answered += is_answered ? 1 : 0;
    }
    BOOST_TEST(answered == waiting_clients);
  }
}
