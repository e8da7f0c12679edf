#include "camphorlug/peers/gossip.h"

#include "camphorlug/support/log.h"
#include "camphorlug/support/shutdown_exception.h"

#include <algorithm>

namespace camphorlug::peers {

static constexpr std::chrono::seconds exchange_interval{1};
static constexpr std::chrono::milliseconds exchange_timeout{1000};
/// Number of peers contacted in each periodic round. Pushing a change uses a larger
/// fan-out.
static constexpr std::size_t round_fanout = 2;
static constexpr std::size_t push_fanout = 5;
/// Observations older than this are requested from peers.
static constexpr std::chrono::milliseconds stale_observation_age{1500};
/// Observations older than this are too old to be worth relaying.
static constexpr std::chrono::milliseconds max_relayed_observation_age{3000};

gossip::gossip(gossip_context context, std::vector<std::string> seeds,
               std::function<node_report()> make_report,
               std::function<void(std::uint64_t)> on_own_incarnation)
    : context_(context), seeds_(std::move(seeds)), make_report_(std::move(make_report)),
      on_own_incarnation_(std::move(on_own_incarnation)), changed_(context.time) {
  context_.rows.add_listener([this](const table::row& changed) {
    unpushed_[changed.key] = changed;
    changed_.notify();
  });
}

support::task<> gossip::run() {
  for (;;) {
    context_.registry.remove_silent_peers(context_.time.now());
    for (const std::string& address : choose_addresses(round_fanout))
      support::spawn(context_.executor, "exchange", exchange_with(address, {}));
    // Jitter keeps the rounds of different nodes from synchronising.
    const auto jitter = std::chrono::milliseconds(context_.random.below(100));
    co_await context_.time.sleep_for(exchange_interval + jitter);
  }
}

support::task<> gossip::push_changes() {
  for (;;) {
    const bool notified = co_await changed_.wait_for(std::chrono::hours(1));
    if (!notified)
      continue;
    std::vector<table::row> pushed;
    for (auto& [key, row] : unpushed_)
      pushed.push_back(std::move(row));
    unpushed_.clear();
    for (const std::string& address : choose_addresses(push_fanout))
      support::spawn(context_.executor, "push", exchange_with(address, pushed));
  }
}

support::task<> gossip::announce() {
  std::vector<std::string> addresses;
  for (const auto& [id, peer] : context_.registry.peers())
    addresses.push_back(peer.report.peer_address);
  for (const std::string& address : addresses)
    support::spawn(context_.executor, "announce", exchange_with(address, {}));
  co_return;
}

std::vector<std::string> gossip::choose_addresses(std::size_t count) {
  std::set<std::string> known(seeds_.begin(), seeds_.end());
  for (const auto& [id, peer] : context_.registry.peers())
    known.insert(peer.report.peer_address);
  for (const auto& [id, instance] : context_.directory.all()) {
    if (instance.role == table::instance_role::entry)
      known.insert(instance.address);
  }
  known.erase(context_.self_address);
  std::vector<std::string> chosen(known.begin(), known.end());
  std::shuffle(chosen.begin(), chosen.end(), context_.random.engine());
  chosen.resize(std::min(count, chosen.size()));
  return chosen;
}

std::vector<std::string> gossip::missed_instances() const {
  std::vector<std::string> missed;
  const auto now = context_.time.now();
  for (const auto& [id, instance] : context_.directory.all()) {
    if (instance.role == table::instance_role::entry)
      continue;
    const watching::observation* seen = context_.observations.find(id);
    if (!seen || now - seen->seen_at > stale_observation_age)
      missed.push_back(id);
  }
  return missed;
}

peer_message gossip::make_opening_message() {
  peer_message message;
  message.sender = make_report_();
  for (const auto& [id, peer] : context_.registry.peers())
    message.report_digests.push_back(digest_of(peer.report));
  message.row_fingerprints = context_.rows.bucket_fingerprints();
  message.missed_instances = missed_instances();
  message.wants_instances = !context_.directory.was_read();
  return message;
}

support::task<> gossip::exchange_with(std::string address, std::vector<table::row> pushed) {
  if (pushed.empty() && !in_progress_.insert(address).second)
    co_return;
  const bool is_round = pushed.empty();
  ++exchanges_;
  try {
    peer_message message = make_opening_message();
    message.rows = std::move(pushed);
    auto began = context_.time.now();
    const peer_message reply =
        co_await context_.client.exchange(address, std::move(message), exchange_timeout);
    merge(reply, began);
    if (!reply.differing_buckets.empty()) {
      peer_message follow_up;
      follow_up.sender = make_report_();
      compare_rows(reply, follow_up);
      follow_up.row_digests = digest_buckets(reply.differing_buckets);
      follow_up.differing_buckets = reply.differing_buckets;
      began = context_.time.now();
      const peer_message follow_up_reply =
          co_await context_.client.exchange(address, std::move(follow_up), exchange_timeout);
      merge(follow_up_reply, began);
    }
  } catch (const support::shutdown_exception&) {
    throw;
  } catch (const std::exception&) {
    // An unreachable peer is detected by its missing heartbeats.
  }
  if (is_round)
    in_progress_.erase(address);
}

void gossip::merge(const peer_message& message, support::clock::time_point began) {
  const auto now = context_.time.now();
  context_.registry.update(message.sender, now);
  for (const node_report& report : message.reports)
    context_.registry.update(report, now);
  for (const report_digest& digest : message.report_digests)
    apply_digest(digest, now);
  for (const table::row& row : message.rows)
    context_.rows.update_if_newer(row);
  for (const relayed_observation& observation : message.observations)
    context_.observations.record_report(observation.report, began - observation.age,
                                        message.sender.id);
  if (!message.instances.empty())
    context_.directory.adopt(message.instances);
}

void gossip::apply_digest(const report_digest& digest, support::clock::time_point now) {
  if (digest.id == context_.self_id)
    on_own_incarnation_(digest.incarnation);
  else
    context_.registry.update(digest, now);
}

std::vector<row_digest> gossip::digest_buckets(const std::vector<std::size_t>& buckets) const {
  std::vector<row_digest> digests;
  for (const auto& [key, row] : context_.rows.rows()) {
    const std::size_t bucket = table::row_cache::bucket_of(key);
    if (std::find(buckets.begin(), buckets.end(), bucket) != buckets.end())
      digests.push_back({key, row.version});
  }
  return digests;
}

/// Adds to `mine` the rows in the differing buckets that `theirs` lacks or has in an
/// older version, and requests those that it has in a newer one.
void gossip::compare_rows(const peer_message& theirs, peer_message& mine) const {
  std::map<std::string, std::uint64_t> versions;
  for (const row_digest& digest : theirs.row_digests)
    versions[digest.key] = digest.version;
  for (const auto& [key, row] : context_.rows.rows()) {
    const std::size_t bucket = table::row_cache::bucket_of(key);
    const auto& differing = theirs.differing_buckets;
    if (std::find(differing.begin(), differing.end(), bucket) == differing.end())
      continue;
    const auto found = versions.find(key);
    if (found == versions.end() || found->second < row.version)
      mine.rows.push_back(row);
  }
  for (const auto& [key, version] : versions) {
    const table::row* held = context_.rows.find(key);
    if (!held || held->version < version)
      mine.wanted_rows.push_back(key);
  }
}

void gossip::add_observations(const std::vector<std::string>& wanted, peer_message& mine) const {
  const auto now = context_.time.now();
  for (const std::string& id : wanted) {
    const watching::observation* seen = context_.observations.find(id);
    if (!seen || seen->absent || now - seen->seen_at > max_relayed_observation_age)
      continue;
    mine.observations.push_back(
        {seen->report, std::chrono::ceil<std::chrono::milliseconds>(now - seen->seen_at)});
  }
}

/// Adds the reports and digests of other nodes that are newer than the sender's.
void gossip::add_newer_reports(const peer_message& message, peer_message& reply) const {
  std::map<std::string, report_digest> theirs;
  for (const report_digest& digest : message.report_digests)
    theirs[digest.id] = digest;
  for (const auto& [id, peer] : context_.registry.peers()) {
    const report_digest ours = digest_of(peer.report);
    if (id == message.sender.id) {
      // The sender restarted with a smaller incarnation than the one known here, for
      // example because its clock was set back. The digest tells the sender
      // the known incarnation, so that it continues with a larger one.
      if (ours.incarnation > message.sender.incarnation)
        reply.report_digests.push_back(ours);
      continue;
    }
    const auto found = theirs.find(id);
    if (found == theirs.end() || ours.has_newer_content_than(found->second))
      reply.reports.push_back(peer.report);
    else if (ours.is_later_than(found->second))
      reply.report_digests.push_back(ours);
  }
}

peer_message gossip::answer(const peer_message& message) {
  const auto now = context_.time.now();
  merge(message, now);
  peer_message reply;
  reply.sender = make_report_();
  if (!message.row_fingerprints.empty())
    add_newer_reports(message, reply);
  const auto mine = context_.rows.bucket_fingerprints();
  for (std::size_t bucket = 0; bucket < message.row_fingerprints.size(); ++bucket) {
    if (bucket < mine.size() && mine[bucket] != message.row_fingerprints[bucket])
      reply.differing_buckets.push_back(bucket);
  }
  reply.row_digests = digest_buckets(reply.differing_buckets);
  if (!message.row_digests.empty() || message.row_fingerprints.empty())
    compare_rows(message, reply);
  reply.wanted_rows.clear();
  for (const std::string& key : message.wanted_rows) {
    if (const table::row* held = context_.rows.find(key))
      reply.rows.push_back(*held);
  }
  add_observations(message.missed_instances, reply);
  if (message.wants_instances) {
    for (const auto& [id, instance] : context_.directory.all())
      reply.instances.push_back(instance);
  }
  return reply;
}

} // namespace camphorlug::peers
