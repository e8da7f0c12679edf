#include "camphorlug/gateway/fleet_exchange.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::gateway {

static constexpr std::chrono::milliseconds exchange_timeout{400};
/// Interval between two checks for due exchanges.
static constexpr std::chrono::milliseconds tick{50};
/// Pause before another hub is tried after a failure; grows with further failures.
static constexpr std::chrono::milliseconds attach_retry_pause{20};
static constexpr int max_attach_backoff_steps = 5;
/// A hub that failed is not tried again for this long while there is another one.
static constexpr std::chrono::milliseconds failed_hub_pause{1000};
/// Interval between two attempts to find nodes at an address that belongs to no known node.
static constexpr std::chrono::milliseconds discovery_interval{1000};
static constexpr std::chrono::seconds clean_up_interval{5};
/// Failures with one address multiply the interval by up to this.
static constexpr int max_backoff_factor = 8;

fleet_exchange::fleet_exchange(asio::any_io_executor executor, support::clock& time,
                               support::random_source& random, net::http_client& client,
                               fleet_view& view, std::function<own_report()> make_report)
    : executor_(std::move(executor)), time_(time), random_(random), client_(client), view_(view),
      make_report_(std::move(make_report)) {}

fleet_exchange::own_report fleet_exchange::update_self() {
  own_report report = make_report_();
  view_.update_self(report.status, report.summary);
  return report;
}

fleet_message fleet_exchange::make_message() {
  own_report report = update_self();
  fleet_message message;
  message.sender = std::move(report.status);
  message.sequence = ++sequence_;
  message.config_version = report.config_version;
  message.entries_version = report.entries_version;
  message.config_staleness = report.config_staleness;
  message.entries_staleness = report.entries_staleness;
  message.store_era = report.store_era;
  message.crash_digest = report.crash_digest;
  message.evacuations = std::move(report.evacuations);
  message.nodes = report.nodes;
  message.cold = std::move(report.cold);
  return message;
}

support::task<> fleet_exchange::run() {
  update_self();
  for (;;) {
    view_.expire();
    if (view_.is_hub())
      start_hub_exchanges();
    else
      start_attach_exchange();
    if (time_.now() >= clean_up_at_)
      drop_old_contacts();
    co_await time_.sleep_for(tick);
  }
}

support::task<std::optional<fleet_message>> fleet_exchange::send(std::string address,
                                                                 fleet_message message) {
  net::client_request request;
  request.method = "POST";
  request.address = address;
  request.target = fleet_path;
  request.headers.add("Content-Type", "application/json");
  request.body = message.to_json();
  request.connect_timeout = exchange_timeout;
  request.connection = net::connection_use::pooled;
  request.limits = net::response_limits::bulk();
  try {
    const net::client_response response =
        co_await client_.fetch(std::move(request), exchange_timeout);
    if (response.status == 200)
      co_return fleet_message::from_json(response.body);
  } catch (const net::transport_error&) {
    // The caller counts the failure; the peer may be down or unreachable.
  } catch (const nlohmann::json::exception& error) {
    support::log_event(support::log_level::warning, "peer_message_unreadable",
                       {{"peer", address}, {"error", error.what()}});
  }
  co_return std::nullopt;
}

void fleet_exchange::record_result(const std::string& address, bool succeeded,
                                   std::chrono::nanoseconds interval) {
  contact& known = contacts_[address];
  if (succeeded && known.failures > 1)
    support::log_event(support::log_level::info, "peer_regained", {{"peer", address}});
  known.failures = succeeded ? 0 : known.failures + 1;
  if (known.failures == 2)
    support::log_event(support::log_level::warning, "peer_lost", {{"peer", address}});
  known.in_progress = false;
  known.next_at = time_.now() + interval * std::min(1 + known.failures, max_backoff_factor);
}

std::vector<std::string> fleet_exchange::unknown_addresses() {
  std::set<std::string> found = addresses_;
  found.erase(view_.self().peer_address);
  for (const auto& [id, each] : view_.others())
    found.erase(each.status.peer_address);
  return {found.begin(), found.end()};
}

/// Returns the address of the preferred hub that did not fail just now, or of any node if no hub
/// is known; empty if there is nothing to try.
std::string fleet_exchange::next_hub_address() {
  const node_status& self = view_.self();
  const auto may_try = [&](const std::string& address) {
    const auto known = contacts_.find(address);
    return known == contacts_.end() || known->second.failures == 0 ||
           time_.now() >= known->second.next_at;
  };
  for (const node_status& hub : hub_preference(view_.roles(), self.id, self.data_centre)) {
    if (hub.id != self.id && may_try(hub.peer_address))
      return hub.peer_address;
  }
  std::vector<std::string> others = unknown_addresses();
  std::shuffle(others.begin(), others.end(), random_.engine());
  const auto found = std::find_if(others.begin(), others.end(), may_try);
  return found == others.end() ? "" : *found;
}

void fleet_exchange::start_attach_exchange() {
  if (attaching_ || time_.now() < next_attach_at_)
    return;
  const std::string address = next_hub_address();
  if (address.empty())
    return;
  attaching_ = true;
  support::spawn(executor_, "attach " + address, attach(address));
}

support::task<> fleet_exchange::attach(std::string address) {
  if (std::exchange(hub_address_, address) != address)
    support::log_event(support::log_level::info, "hub_chosen", {{"hub", address}});
  fleet_message request = make_message();
  view_.complete_attach_request(request);
  const auto asked_at = time_.now();
  const std::optional<fleet_message> reply = co_await send(address, std::move(request));
  record_result(address, reply.has_value(), failed_hub_pause);
  attaching_ = false;
  if (!reply) {
    const int steps = std::min(contacts_[address].failures, max_attach_backoff_steps);
    next_attach_at_ = time_.now() + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                        attach_retry_pause * (1 << steps) * random_.uniform_real());
    co_return;
  }
  next_attach_at_ = time_.now() + attach_interval;
  // This node may have become a hub meanwhile; the reply then only tells of further hubs.
  if (view_.is_hub())
    view_.apply_discovery(*reply);
  else
    view_.apply_reply(*reply);
  if (on_message_)
    on_message_(*reply, asked_at);
}

void fleet_exchange::start_hub_exchanges() {
  const auto now = time_.now();
  const auto begin = [&](const std::string& address) {
    contact& known = contacts_[address];
    if (known.in_progress || now < known.next_at)
      return false;
    known.in_progress = true;
    return true;
  };
  for (const node_status& hub : view_.roles().hubs) {
    if (hub.id != view_.self().id && begin(hub.peer_address))
      support::spawn(executor_, "exchange " + hub.peer_address,
                     exchange_with_hub(hub.peer_address, hub.id));
  }
  for (const std::string& address : unknown_addresses()) {
    if (begin(address))
      support::spawn(executor_, "discover " + address, discover(address));
  }
}

support::task<> fleet_exchange::exchange_with_hub(std::string address, std::string id) {
  fleet_message message = make_message();
  view_.complete_hub_message(id, contacts_[address].held, message);
  const auto asked_at = time_.now();
  const std::optional<fleet_message> reply = co_await send(address, std::move(message));
  const bool is_full_mesh = fleet_roles::is_full_mesh(view_.others().size() + 1);
  record_result(address, reply.has_value(), is_full_mesh ? mesh_interval : hub_interval);
  if (!reply)
    co_return;
  const auto held = reply->known.find(view_.self().id);
  contacts_[address].held = held == reply->known.end() ? section_stamp{} : held->second;
  view_.apply_hub(*reply);
  if (on_message_)
    on_message_(*reply, asked_at);
}

support::task<> fleet_exchange::discover(std::string address) {
  fleet_message request = make_message();
  view_.complete_attach_request(request);
  const auto asked_at = time_.now();
  const std::optional<fleet_message> reply = co_await send(address, std::move(request));
  record_result(address, reply.has_value(), discovery_interval);
  if (!reply)
    co_return;
  view_.apply_discovery(*reply);
  if (on_message_)
    on_message_(*reply, asked_at);
}

/// Drops contacts that belong to no known node, so that replaced nodes do not accumulate.
void fleet_exchange::drop_old_contacts() {
  clean_up_at_ = time_.now() + clean_up_interval;
  std::set<std::string> current = addresses_;
  for (const auto& [id, each] : view_.others())
    current.insert(each.status.peer_address);
  std::erase_if(contacts_, [&](const auto& each) {
    return !each.second.in_progress && each.first != hub_address_ && !current.contains(each.first);
  });
}

std::string fleet_exchange::answer(const std::string& body) {
  const fleet_message message = fleet_message::from_json(body);
  fleet_message reply = make_message();
  if (message.attaches) {
    view_.apply_attached(message);
    view_.complete_reply(message, reply);
  } else {
    view_.apply_hub(message);
    view_.complete_hub_reply(message, reply);
  }
  if (on_message_)
    on_message_(message, std::nullopt);
  return reply.to_json();
}

void fleet_exchange::announce() {
  update_self();
  if (!view_.is_hub()) {
    if (!hub_address_.empty())
      support::spawn(executor_, "announce " + hub_address_, attach(hub_address_));
    return;
  }
  for (const node_status& hub : view_.roles().hubs) {
    if (hub.id != view_.self().id)
      support::spawn(executor_, "announce " + hub.peer_address,
                     exchange_with_hub(hub.peer_address, hub.id));
  }
}

} // namespace camphorlug::gateway
