#include "camphorlug/gateway/peer_status_exchange.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::gateway {

static constexpr std::chrono::milliseconds exchange_timeout{400};
/// Upper limit of the backoff for a peer that does not answer.
static constexpr std::chrono::milliseconds max_backoff_interval{2000};
/// Interval between two checks for due exchanges.
static constexpr std::chrono::milliseconds tick{50};
static constexpr std::size_t max_exchanges_per_tick =
    peer_status_exchange::max_exchanges_per_second * tick / std::chrono::seconds(1);

peer_status_exchange::peer_status_exchange(asio::any_io_executor executor, support::clock& time,
                                           net::http_client& client, load_tracker& loads,
                                           suspicion_list& suspicions, std::string id,
                                           std::string address,
                                           std::function<node_status()> make_status)
    : executor_(std::move(executor)), time_(time), client_(client), loads_(loads),
      suspicions_(suspicions), id_(std::move(id)), address_(std::move(address)),
      make_status_(std::move(make_status)) {}

void peer_status_exchange::add_address(const std::string& address) {
  if (address != address_)
    contacts_.try_emplace(address);
}

std::chrono::milliseconds peer_status_exchange::interval() const {
  const auto spread = std::chrono::milliseconds(std::chrono::seconds(1)) * contacts_.size() /
                      max_exchanges_per_second;
  return std::max<std::chrono::milliseconds>(min_interval, spread);
}

std::chrono::milliseconds peer_status_exchange::peer_timeout() const {
  return std::max<std::chrono::milliseconds>(min_peer_timeout, interval() * timeout_intervals);
}

/// Starts the exchanges that have been due the longest. The number per tick is
/// limited, so that many peers do not cause bursts.
void peer_status_exchange::begin_due_exchanges() {
  std::vector<std::pair<support::clock::time_point, std::string>> due;
  for (const auto& [address, known] : contacts_) {
    if (!known.in_progress && time_.now() >= known.next_at)
      due.emplace_back(known.next_at, address);
  }
  std::sort(due.begin(), due.end());
  due.resize(std::min<std::size_t>(due.size(), max_exchanges_per_tick));
  for (const auto& [next_at, address] : due) {
    contacts_[address].in_progress = true;
    support::spawn(executor_, "exchange " + address, exchange(address));
  }
}

support::task<> peer_status_exchange::run() {
  for (;;) {
    loads_.set_peer_load_expiry(std::max<std::chrono::milliseconds>(
        load_tracker::default_peer_load_expiry, peer_timeout()));
    begin_due_exchanges();
    co_await time_.sleep_for(tick);
  }
}

void peer_status_exchange::announce() {
  for (auto& [address, known] : contacts_)
    support::spawn(executor_, "announce " + address, exchange(address));
}

support::task<> peer_status_exchange::exchange(std::string address) {
  net::client_request request;
  request.method = "POST";
  request.address = address;
  request.target = status_path;
  request.headers.add("Content-Type", "application/json");
  request.body = make_status_().to_json();
  request.connect_timeout = exchange_timeout;
  request.connection = net::connection_use::pooled;
  bool succeeded = false;
  try {
    const net::client_response response =
        co_await client_.fetch(std::move(request), exchange_timeout);
    if (response.status == 200) {
      apply_status(node_status::from_json(response.body));
      succeeded = true;
    }
  } catch (const net::transport_error&) {
    // Counted as a failure below; the peer may be down or unreachable.
  } catch (const nlohmann::json::exception& error) {
    support::log_event(support::log_level::warning, "peer_status_unreadable",
                       {{"peer", address}, {"error", error.what()}});
  }
  contact& known = contacts_[address];
  if (succeeded && known.failures > 1)
    support::log_event(support::log_level::info, "peer_regained", {{"peer", address}});
  known.failures = succeeded ? 0 : known.failures + 1;
  if (known.failures == 2)
    support::log_event(support::log_level::warning, "peer_lost", {{"peer", address}});
  known.in_progress = false;
  const auto longest = std::max<std::chrono::milliseconds>(max_backoff_interval, interval());
  known.next_at =
      time_.now() + std::min<std::chrono::milliseconds>(interval() * (1 + known.failures), longest);
}

std::string peer_status_exchange::answer(const std::string& body) {
  apply_status(node_status::from_json(body));
  return make_status_().to_json();
}

void peer_status_exchange::apply_status(node_status status) {
  if (status.id == id_)
    return;
  add_address(status.peer_address);
  const auto known = peers_.find(status.id);
  if (known != peers_.end()) {
    const node_status& before = known->second.status;
    // Statuses can arrive out of order, since exchanges run concurrently.
    if (std::tie(status.incarnation, status.sequence) <=
        std::tie(before.incarnation, before.sequence))
      return;
  }
  loads_.update_peer(status.id, status.loads);
  for (const std::string& target : status.suspects)
    suspicions_.add_peer_suspicion(target);
  if (on_status_)
    on_status_(status);
  const std::string id = status.id;
  peers_[id] = {std::move(status), time_.now()};
}

bool peer_status_exchange::any_peer_leads(std::chrono::nanoseconds max_age) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return entry.second.status.leads && time_.now() - entry.second.heard_at < max_age;
  });
}

std::size_t peer_status_exchange::alive_count() const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(), [this](const auto& entry) { return is_alive(entry.second); }));
}

std::vector<const node_status*> peer_status_exchange::alive() const {
  std::vector<const node_status*> statuses;
  for (const auto& [id, known] : peers_) {
    if (is_alive(known))
      statuses.push_back(&known.status);
  }
  return statuses;
}

} // namespace camphorlug::gateway
