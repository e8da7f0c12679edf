#include "camphorlug/edge/crash_evidence_keeper.h"

#include "camphorlug/gateway/fleet_exchange.h"
#include "camphorlug/net/problem.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/log.h"
#include "camphorlug/table/store_error.h"
#include "camphorlug/table/store_version.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace camphorlug::edge {

static constexpr const char* ban_prefix = "ban/";
static constexpr std::chrono::milliseconds store_interval{500};
static constexpr std::chrono::milliseconds fetch_timeout{500};

static std::string ban_key(const gateway::crash_cause& cause) {
  return ban_prefix + cause.service + "/" + cause.id;
}

crash_evidence_keeper::crash_evidence_keeper(context dependencies)
    : context_(std::move(dependencies)), started_at_(context_.time.now()) {}

void crash_evidence_keeper::update() {
  for (const gateway::target_start& start : context_.causes.take_unconfirmed())
    support::spawn(context_.executor, "confirm " + start.target, confirm(start));
  context_.causes.update();
}

/// A target that is gone from the registry, started anew or answers no probe has crashed.
support::task<> crash_evidence_keeper::confirm(gateway::target_start start) {
  bool is_alive = false;
  const gateway::target_entry* entry = context_.registry.find(start.target);
  if (entry && entry->started_at_ms == start.started_at_ms)
    is_alive = co_await context_.prober.probe(*entry);
  context_.causes.confirm(start, !is_alive);
}

void crash_evidence_keeper::apply_peer_message(const gateway::fleet_message& message) {
  const std::uint64_t digest = message.crash_digest;
  const std::string& peer = message.sender.peer_address;
  if (digest == 0 || digest == context_.causes.evidence().digest()) {
    knows_bans_ = knows_bans_ || message.sender.ready;
    return;
  }
  // Evidence that this node fetched before only lacks what this node knows itself.
  const auto fetched = fetched_.find(peer);
  if ((fetched != fetched_.end() && fetched->second == digest) || std::exchange(fetching_, true))
    return;
  support::spawn(context_.executor, "fetch_crashes", fetch(peer, digest, message.sender.ready));
}

support::task<> crash_evidence_keeper::fetch(std::string peer, std::uint64_t digest, bool serves) {
  net::client_request request;
  request.address = peer;
  request.target = gateway::crashes_path;
  request.connection = net::connection_use::pooled;
  request.limits = net::response_limits::bulk();
  std::string failure;
  try {
    const net::client_response response =
        co_await context_.client.fetch(std::move(request), fetch_timeout);
    context_.causes.merge_json(response.body);
    gateway::crash_evidence fetched;
    fetched.merge_json(response.body, context_.time.now());
    // Another process may answer at the peer's address, which knows less than the one before.
    if (fetched.digest() == digest) {
      fetched_[peer] = digest;
      knows_bans_ = knows_bans_ || serves;
    }
  } catch (const net::transport_error& error) {
    failure = error.what();
  } catch (const nlohmann::json::exception& error) {
    failure = error.what();
  }
  fetching_ = false;
  if (!failure.empty())
    support::log_event(support::log_level::warning, "crashes_fetch_failed",
                       {{"peer", peer}, {"error", failure}});
}

void crash_evidence_keeper::apply_stored(const table::feed_batch& batch, bool is_snapshot) {
  if (is_snapshot) {
    // Rows that this node has written since the snapshot are newer than it.
    std::erase_if(stored_, [&](const auto& each) { return each.second <= batch.version; });
  }
  for (const table::feed_row& row : batch.rows) {
    if (!row.key.starts_with(ban_prefix) || lifted_.contains(row.key))
      continue;
    if (row.deleted) {
      stored_.erase(row.key);
      continue;
    }
    stored_[row.key] = std::max(row.version, batch.version);
    try {
      context_.causes.merge_json(row.value);
    } catch (const nlohmann::json::exception& error) {
      support::log_event(support::log_level::warning, "ban_row_unreadable",
                         {{"key", row.key}, {"error", error.what()}});
    }
  }
  knows_bans_ = true;
}

support::task<> crash_evidence_keeper::write(std::string key, std::optional<std::string> value) {
  const bool keeps = value.has_value();
  table::transaction change;
  change.writes.push_back({key, std::move(value)});
  try {
    const table::commit_result result = co_await context_.store.commit(std::move(change));
    if (!result.committed)
      co_return;
    if (keeps) {
      stored_[key] = result.version;
    } else {
      stored_.erase(key);
      if (const auto lifted = lifted_.find(key); lifted != lifted_.end())
        lifted->second = result.version;
    }
  } catch (const table::store_error& error) {
    support::log_event(support::log_level::warning, "ban_not_stored",
                       {{"key", key}, {"error", error.what()}});
  }
}

bool crash_evidence_keeper::is_current(std::uint64_t version) const {
  return version != 0 && table::era_of(version) >= context_.store_era();
}

support::task<> crash_evidence_keeper::store_bans() {
  for (;;) {
    co_await context_.time.sleep_for(store_interval);
    const auto& proven = context_.causes.evidence().proven_causes();
    // A ban that targets have proved anew is no longer lifted.
    for (const auto& [part, crashes] : proven)
      lifted_.erase(ban_key(part));
    std::map<std::string, std::optional<std::string>> changes;
    for (const auto& [key, deleted_at] : lifted_) {
      if (!is_current(deleted_at))
        changes[key] = std::nullopt;
    }
    if (context_.writes_bans()) {
      for (const auto& [key, version] : stored_)
        changes[key] = std::nullopt;
      for (const auto& [part, crashes] : proven) {
        const std::string key = ban_key(part);
        const auto stored = stored_.find(key);
        if (stored != stored_.end() && is_current(stored->second))
          changes.erase(key);
        else
          changes[key] = context_.causes.to_json(&part);
      }
    }
    for (auto& [key, value] : changes)
      co_await write(key, std::move(value));
  }
}

void crash_evidence_keeper::lift(const net::server_request& request, net::response_writer& writer) {
  const auto service = request.query_value("service");
  const auto id = request.query_value("part");
  if (request.method != "POST" || !service || !id) {
    net::send_problem(writer, {400, "bad-lift", "POST with the parameters service and part"});
    return;
  }
  const gateway::crash_cause part{*service, *id};
  if (!context_.causes.evidence().proven_causes().contains(part)) {
    net::send_problem(writer, {404, "not-banned", "see banned_parts in the state report"});
    return;
  }
  context_.causes.lift(part);
  lifted_[ban_key(part)] = 0;
  support::log_event(support::log_level::info, "prompt_part_ban_lifted",
                     {{"service", part.service}, {"part", part.id}});
  net::send_json(writer, 200, "{}");
}

bool crash_evidence_keeper::knows_bans() const {
  return knows_bans_ || context_.time.now() - started_at_ >= max_wait_for_bans;
}

} // namespace camphorlug::edge
