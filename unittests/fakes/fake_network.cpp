#include "fakes/fake_network.h"

#include <stdexcept>

namespace camphorlug::fakes {

support::task<> fake_peer_client::simulate_transfer(std::string address,
                                                    std::chrono::nanoseconds timeout) {
  const bool lost = dead || network_.is_cut(self_, address) || !network_.nodes.contains(address) ||
                    random_.below(1000) < network_.losses_per_thousand;
  if (lost) {
    co_await time_.sleep_for(timeout);
    throw std::runtime_error("no answer");
  }
  co_await time_.sleep_for(std::chrono::microseconds(
      random_.below(static_cast<std::size_t>(network_.longest_delay.count()) * 1000 + 1)));
}

support::task<peers::peer_message> fake_peer_client::exchange(std::string address,
                                                              peers::peer_message message,
                                                              std::chrono::nanoseconds timeout) {
  const std::string sent = message.to_json();
  network_.bytes += sent.size();
  ++network_.messages;
  co_await simulate_transfer(address, timeout);
  const auto found = network_.nodes.find(address);
  if (found == network_.nodes.end())
    throw std::runtime_error("no answer");
  const std::string received = found->second(peers::peer_message::from_json(sent)).to_json();
  network_.bytes += received.size();
  co_await simulate_transfer(address, timeout);
  co_return peers::peer_message::from_json(received);
}

} // namespace camphorlug::fakes
