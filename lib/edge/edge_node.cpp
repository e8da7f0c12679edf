#include "camphorlug/edge/edge_node.h"

#include "camphorlug/edge/lift_path.h"
#include "camphorlug/edge/state_report.h"
#include "camphorlug/gateway/gateway_selection.h"
#include "camphorlug/gateway/home_faults.h"
#include "camphorlug/net/problem.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/json_text.h"
#include "camphorlug/support/log.h"
#include "camphorlug/table/store_error.h"
#include "camphorlug/table/store_version.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace camphorlug::edge {

static constexpr const char* node_prefix = "node/";
static constexpr const char* lease_pool = "replicas";
/// Short, since no group is repaired between the failure of a planner and the start of the next.
static constexpr groups::lease_timing lease_timing{/*term=*/std::chrono::milliseconds(2000),
                                                   /*margin=*/std::chrono::milliseconds(300)};
/// If no peer has reported within this time that it plans, the planner may have failed and the
/// lease is read.
static constexpr std::chrono::milliseconds planner_status_max_age{700};
/// Demand is ignored for this long after the first request: short requests finish first, so
/// the first measured slot holding times are too short.
static constexpr std::chrono::milliseconds demand_settling_time{8000};
/// A restarted node hears of a live peer within this time.
static constexpr std::chrono::milliseconds read_delay_after_restart{100};
static constexpr std::chrono::milliseconds long_read_delay_after_restart{350};
/// Interval at which a node that has started again reads the bans until it knows them.
static constexpr std::chrono::milliseconds ban_read_interval{400};
/// Nodes with at least this processor share are the first to read the store after a restart.
static constexpr double min_cores_of_relays = 0.25;
static constexpr std::chrono::milliseconds config_reread_interval{2000};
static constexpr std::chrono::milliseconds targets_reread_interval{4000};
static constexpr std::chrono::milliseconds own_rows_reread_interval{5000};
static constexpr std::chrono::milliseconds housekeeping_interval{50};
static constexpr std::chrono::milliseconds registration_retry_interval{500};
/// A node shows for this long after an answer of the store that it reaches it.
static constexpr std::chrono::milliseconds store_evidence_max_age{3000};
static constexpr std::chrono::milliseconds config_fetch_timeout{1000};
static constexpr std::string_view config_fetch_failed_event = "config_fetch_failed";
static constexpr std::string_view target_rows_fetch_failed_event = "entries_fetch_failed";
/// Target rows are fetched from a more current peer if the store has not answered for this
/// long. With instances that report continuously, the store answers several times a second.
static constexpr std::chrono::milliseconds store_silence_limit{600};
/// A peer must stay ahead for this long before its rows are fetched: when changes are rare, the
/// store's answer and a peer's status that reports the same change race with each other.
static constexpr std::chrono::milliseconds peer_fetch_delay{200};
static constexpr std::chrono::milliseconds target_rows_fetch_timeout{500};
/// Some callers cache a response of the directory of entry points for this many times its validity.
static constexpr int max_entry_reuse_factor = 3;
/// Time until all peers have learned that this node is shutting down.
static constexpr std::chrono::milliseconds announcement_time{300};
/// Weight of a relay that does not know its processor share.
static constexpr double min_relay_weight = 0.05;
/// Until a loss is over, each probe of a target is charged for.
static constexpr std::chrono::milliseconds lost_service_probe_interval{500};
/// Part of the process's memory for what it holds of requests and responses. The rest is for
/// requests that are being received, the tables and the program itself.
static constexpr double held_memory_fraction = 0.3;
/// Requests in progress are cut this long before the platform kills the process.
static constexpr std::chrono::milliseconds termination_margin{300};

static std::size_t held_bytes_limit(const edge_settings& settings) {
  return settings.memory_bytes == 0
             ? support::memory_budget::unlimited
             : static_cast<std::size_t>(static_cast<double>(settings.memory_bytes) *
                                        held_memory_fraction);
}

edge_node::edge_node(edge_context context, edge_settings settings)
    : context_(std::move(context)), settings_(std::move(settings)),
      incarnation_(support::make_incarnation(context_.time)),
      reading_(context_.time, context_.random), memory_(held_bytes_limit(settings_)),
      config_(context_.time), registry_(context_.time), groups_(registry_, config_),
      loads_(context_.time), suspicions_(context_.time), pauses_(context_.time),
      limits_(context_.time), evacuations_(context_.time, settings_.evacuation_time_limit),
      cold_targets_(context_.time),
      chooser_(registry_, groups_, loads_, suspicions_, pauses_, limits_, evacuations_,
               context_.random, settings_.data_centre),
      slot_queue_(context_.time, chooser_, loads_, limits_),
      retries_(context_.time, settings_.retries, [this] { return live_node_count(); }),
      stalls_(context_.time), demand_(context_.time), usual_limits_(context_.time),
      first_parts_(context_.time), second_tries_(settings_.second_tries),
      notices_(registry_, pauses_, limits_, metrics_), crash_causes_(context_.time),
      trials_(
          {context_.executor, context_.time, context_.client, fleet_, crash_causes_, settings_.id}),
      paths_(context_.time),
      sender_(context_.time, context_.random, context_.client, paths_, [this] { return relays(); }),
      prober_(context_.time, context_.client, context_.prober, paths_, sender_),
      departures_(
          {context_.time, registry_,
           [this] { return target_follower_.read_now_within(departure_checker::read_timeout); }},
          {settings_.target_time_limit, settings_.target_report_interval}),
      liveness_(context_.executor, context_.time, prober_, departures_),
      relay_(context_.time, context_.client, context_.protocol, registry_, slot_queue_, paths_,
             settings_.cores, memory_, liveness_),
      requests_({context_.time, context_.random, sender_,       context_.protocol, config_,
                 registry_,     slot_queue_,     suspicions_,   notices_,          crash_causes_,
                 trials_,       retries_,        stalls_,       demand_,           metrics_,
                 usual_limits_, first_parts_,    second_tries_, memory_,           liveness_},
                [this] { return shutdown(); }),
      fleet_(context_.time, loads_, suspicions_),
      scheduler_service_(context_.time, chooser_, config_, settings_.id),
      scheduler_client_({context_.executor, context_.time, context_.client, chooser_, loads_,
                         schedulers_, scheduler_service_, settings_.id, settings_.data_centre}),
      exchange_(context_.executor, context_.time, context_.random, context_.client, fleet_,
                [this] { return report(); }),
      lease_(context_.store, context_.time, context_.random, lease_pool, settings_.id,
             lease_timing),
      replica_controller_(
          {context_.executor, context_.time, config_, registry_, lease_, context_.orders, prober_,
           [this] { return traffic_since_.has_value(); },
           [this] { return !may_plan() || fleet_.leader_heard_within(planner_status_max_age); },
           [this] { return total_demand(); }, [this] { return all_stalled_heads(); },
           [this] { return target_follower_.read_now(); },
           [this] { return !is_cut_off_from_targets(); },
           [this] { return evacuations_.evacuated(); }}),
      member_checker_(
          context_.executor, context_.time, registry_, prober_,
          [this](const gateway::target_entry& member) { return group_progresses(member); }),
      crash_keeper_({context_.executor, context_.time, context_.client, context_.store, prober_,
                     registry_, crash_causes_, [this] { return replica_controller_.leads(); },
                     [this] { return store_era_; }}),
      config_follower_(context_.time, context_.random, context_.feed, context_.tables.config_table,
                       config_reread_interval,
                       [this](const table::feed_batch& batch, bool is_full_table) {
                         apply_config_rows(batch, is_full_table);
                       }),
      target_follower_(context_.time, context_.random, context_.feed, context_.tables.target_table,
                       targets_reread_interval,
                       [this](const table::feed_batch& batch, bool is_full_table) {
                         apply_target_rows(batch, is_full_table);
                       }),
      own_follower_(context_.time, context_.random, context_.feed, context_.tables.own_table,
                    own_rows_reread_interval,
                    [this](const table::feed_batch& batch, bool is_full_table) {
                      apply_own_rows(batch, is_full_table);
                    }),
      config_staleness_(context_.time, config_follower_, context_.tables.config_table),
      target_staleness_(context_.time, target_follower_, context_.tables.target_table),
      config_reads_(context_.time, context_.random, settings_.id),
      target_reads_(context_.time, context_.random, settings_.id) {
  slot_queue_.set_scheduler(&scheduler_client_);
  cold_targets_.change_bound(settings_.cold);
  set_time_limits();
  chooser_.set_cold_targets(&cold_targets_, &config_);
  chooser_.set_regions(settings_.regions);
  registry_.set_group_progress(
      [this](const gateway::target_entry& member) { return group_progresses(member); });
  registry_.add_listener([this] {
    scheduler_service_.update_targets();
    slot_queue_.assign_free_slots();
  });
  target_follower_.on_new_era([this] { registry_.mark_store_recovered(); });
  // A node that lost the store alone has seen no outage: entries that are missing then are gone.
  target_follower_.on_reconnected([this] {
    if (target_staleness_.has_missed_store() || others_missed_store_)
      registry_.mark_store_recovered();
    others_missed_store_ = false;
  });
  for (table::table_follower* each : {&config_follower_, &target_follower_, &own_follower_})
    each->set_gate([this] { return reading_.is_active(); });
  exchange_.on_message([this](const gateway::fleet_message& message, auto asked_at) {
    apply_peer_message(message, asked_at);
  });
}

edge_node::~edge_node() = default;

void edge_node::start() {
  for (const std::string& seed : settings_.seeds)
    exchange_.add_address(seed);
  begin_lasting("follow_config", [this] { return config_follower_.follow(); });
  begin_lasting("reread_config", [this] { return config_follower_.reread(); });
  begin_lasting("follow_targets", [this] { return target_follower_.follow(); });
  begin_lasting("reread_targets", [this] { return target_follower_.reread(); });
  begin_lasting("poll_own_rows", [this] { return own_follower_.poll(); });
  begin_lasting("register", [this] { return register_self(); });
  begin_lasting("peers", [this] { return exchange_.run(); });
  if (!settings_.is_first_start)
    support::spawn(context_.executor, "read_store_after_restart", read_store_after_restart());
  begin_lasting("lease", [this] { return replica_controller_.keep_lease(); });
  begin_lasting("replicas", [this] { return replica_controller_.run(); });
  begin_lasting("store_bans", [this] { return crash_keeper_.store_bans(); });
  begin_lasting("housekeeping", [this] { return run_housekeeping(); });
  begin_lasting("probe_lost_services", [this] { return probe_lost_services(); });
}

void edge_node::begin_lasting(std::string name, std::function<support::task<>()> begin) {
  support::spawn_lasting(context_.executor, context_.time, std::move(name), std::move(begin));
}

void edge_node::change_settings(const edge_settings& settings) {
  for (const std::string& seed : settings.seeds)
    exchange_.add_address(seed);
  settings_.seeds = settings.seeds;
  settings_.regions = settings.regions;
  chooser_.set_regions(settings_.regions);
  settings_.retries = settings.retries;
  retries_.change_limits(settings.retries);
  settings_.memory_bytes = settings.memory_bytes;
  memory_.change_limit(held_bytes_limit(settings_));
  settings_.cold = settings.cold;
  cold_targets_.change_bound(settings.cold);
  settings_.termination_grace = settings.termination_grace;
  settings_.entries_valid_for = settings.entries_valid_for;
  evacuations_.change_time_limit(settings.evacuation_time_limit);
  settings_.config_time_limit = settings.config_time_limit;
  settings_.target_time_limit = settings.target_time_limit;
  settings_.target_report_interval = settings.target_report_interval;
  departures_.change_timing({settings.target_time_limit, settings.target_report_interval});
  set_time_limits();
  settings_.min_entry_points = settings.min_entry_points;
}

void edge_node::apply_notice(const std::string& instance, const gateway::target_notice& notice) {
  if (const gateway::target_entry* entry = registry_.find(instance))
    notices_.apply(instance, entry->started_at_ms, notice);
}

void edge_node::apply_config_rows(const table::feed_batch& batch, bool is_full_table) {
  apply_evacuations(batch, is_full_table);
  for (const table::feed_row& row : batch.rows) {
    if (row.key == context_.tables.config_key && !row.deleted)
      apply_config(row.value);
  }
}

void edge_node::apply_evacuations(const table::feed_batch& batch, bool is_full_table) {
  const std::string& prefix = context_.tables.evacuation_prefix;
  // Only a change that the feed reports at once is known to be new.
  const bool is_new = !is_full_table && config_follower_.follows_directly();
  const auto age = is_new ? std::chrono::milliseconds(0) : gateway::evacuation_list::unknown_age;
  std::set<std::string> present;
  for (const table::feed_row& row : batch.rows) {
    if (prefix.empty() || !row.key.starts_with(prefix))
      continue;
    const std::string data_centre = row.key.substr(prefix.size());
    evacuations_.update(data_centre, row.version, !row.deleted, age);
    if (!row.deleted)
      present.insert(data_centre);
  }
  if (is_full_table)
    evacuations_.retain(present, batch.version);
}

void edge_node::apply_config(const std::string& text) {
  std::shared_ptr<const gateway::routing_config> config = context_.decoder.read_config(text);
  if (!config || !config_.update_if_newer(std::move(config)))
    return;
  config_text_ = text;
  for (const gateway::home_fault& fault :
       gateway::find_home_faults(*config_.current(), settings_.regions))
    support::log_event(support::log_level::warning, "homes_cannot_be_kept",
                       {{"subject", fault.subject}, {"reason", fault.reason}});
}

void edge_node::apply_target_rows(const table::feed_batch& batch, bool is_full_table) {
  // An answer or a peer's rows from before the store was restored.
  if (table::era_of(batch.version) < table::era_of(target_rows_.version()))
    return;
  target_rows_.apply(batch, is_full_table);
  std::set<std::string> present;
  for (const table::feed_row& row : batch.rows) {
    if (row.deleted) {
      registry_.remove(row.key, row.version);
      continue;
    }
    present.insert(row.key);
    registry_.update(row.key, row.version, context_.decoder.read_target(row.key, row.value));
  }
  // Rows that are not in a batch of the full table no longer exist.
  if (is_full_table)
    registry_.retain(present, batch.version);
}

void edge_node::apply_own_rows(const table::feed_batch& batch, bool is_full_table) {
  crash_keeper_.apply_stored(batch, is_full_table);
  for (const table::feed_row& row : batch.rows) {
    if (!row.key.starts_with(node_prefix) || row.deleted)
      continue;
    try {
      const std::string address = nlohmann::json::parse(row.value).at("peer_address");
      exchange_.add_address(address);
    } catch (const nlohmann::json::exception& error) {
      support::log_event(support::log_level::warning, "node_row_unreadable",
                         {{"key", row.key}, {"error", error.what()}});
    }
  }
}

/// Registers this node when it begins to read the store, so that nodes whose seeds are gone find
/// one that knows the others. Waits a moment, since an isolated node may find others at once.
/// Registers again in each era of the store, since the row may be lost.
support::task<> edge_node::register_self() {
  for (;;) {
    co_await context_.time.sleep_for(registration_retry_interval);
    const bool is_registered = registered_in_era_ && *registered_in_era_ >= store_era_;
    if (is_registered || !reading_.is_active())
      continue;
    table::transaction change;
    const nlohmann::json value{{"peer_address", settings_.peer_address}};
    change.writes.push_back({node_prefix + settings_.id, support::to_json_text(value)});
    try {
      const table::commit_result result = co_await context_.store.commit(std::move(change));
      if (result.committed)
        registered_in_era_ = table::era_of(result.version);
    } catch (const table::store_error& error) {
      support::log_event(support::log_level::warning, "registration_failed",
                         {{"error", error.what()}});
    }
  }
}

static void log_fetch_failure(std::string_view event, const std::string& peer, const char* error) {
  support::log_event(support::log_level::warning, event, {{"peer", peer}, {"error", error}});
}

/// After a failure of all nodes, callers wait while the nodes find each other and agree on who
/// reads the store. Nodes with little processor time wait longer, since the others relay what they
/// read, and many nodes at once would be a burden for the store.
support::task<> edge_node::read_store_after_restart() {
  const bool relays = settings_.cores >= min_cores_of_relays;
  const auto delay = relays ? read_delay_after_restart : long_read_delay_after_restart;
  const auto jittered = std::chrono::duration_cast<std::chrono::nanoseconds>(
      delay * (1 + 0.5 * context_.random.uniform_real()));
  co_await context_.time.sleep_for(jittered);
  if (!peer_has_config_ && !(config_.current() && registry_.was_read())) {
    support::log_event(support::log_level::info, "store_read_after_restart");
    // The bans come first: a node with a configuration takes requests.
    co_await own_follower_.read_now();
    co_await config_follower_.read_now();
    co_await target_follower_.read_now();
  }
  // Others that serve tell the bans, but all may have started just now.
  while (!crash_keeper_.knows_bans()) {
    co_await context_.time.sleep_for(ban_read_interval);
    if (!crash_keeper_.knows_bans())
      co_await own_follower_.read_now();
  }
}

/// Returns the body of a peer's response, or nullopt if the request fails or the status is not
/// 200. A transport failure is logged as `event`.
support::task<std::optional<std::string>>
edge_node::fetch_from_peer(net::client_request request, std::chrono::milliseconds timeout,
                           std::string_view event) {
  const std::string peer = request.address;
  request.connection = net::connection_use::pooled;
  request.limits = net::response_limits::bulk();
  try {
    net::client_response response = co_await context_.client.fetch(std::move(request), timeout);
    if (response.status == 200)
      co_return std::move(response.body);
  } catch (const net::transport_error& error) {
    log_fetch_failure(event, peer, error.what());
  }
  co_return std::nullopt;
}

namespace {

/// Clears a flag when the coroutine that it belongs to ends, also with an exception.
class flag_reset {
public:
  explicit flag_reset(bool& flag) : flag_(flag) {}
  ~flag_reset() { flag_ = false; }
  flag_reset(const flag_reset&) = delete;
  flag_reset& operator=(const flag_reset&) = delete;

private:
  bool& flag_;
};

} // namespace

support::task<> edge_node::fetch_config(std::string peer_address) {
  const flag_reset reset(fetching_config_);
  net::client_request request;
  request.address = std::move(peer_address);
  request.target = gateway::config_path;
  const std::optional<std::string> text =
      co_await fetch_from_peer(std::move(request), config_fetch_timeout, config_fetch_failed_event);
  if (text)
    apply_config(*text);
}

bool edge_node::store_answered_recently() const {
  const auto answered_at = target_follower_.answered_at();
  return answered_at && context_.time.now() - *answered_at < store_silence_limit;
}

/// A node that reads the store gets changes from there. It asks peers only while the store does
/// not answer: groups change meanwhile, and a node that missed a change would send requests to
/// instances that are no longer the head of a group (the member that receives its requests).
bool edge_node::needs_rows_of_peers() {
  if (!reading_.is_active())
    return true;
  if (store_answered_recently()) {
    behind_peers_since_.reset();
    return false;
  }
  if (!behind_peers_since_)
    behind_peers_since_ = context_.time.now();
  return context_.time.now() - *behind_peers_since_ >= peer_fetch_delay;
}

void edge_node::observe_store_era(std::uint64_t era) {
  if (era <= store_era_)
    return;
  const std::uint64_t before = std::exchange(store_era_, era);
  lease_.observe_era(era);
  // A node that starts has read nothing yet that the store may have lost.
  if (target_rows_.version() == 0 && !config_.current())
    return;
  support::log_event(support::log_level::warning, "store_era_changed",
                     {{"era", std::to_string(era)}, {"before", std::to_string(before)}});
  if (!reading_.is_active())
    return;
  support::spawn(context_.executor, "refresh_config", config_follower_.refresh());
  support::spawn(context_.executor, "refresh_targets", target_follower_.refresh());
}

void edge_node::apply_peer_staleness(const gateway::fleet_message& message,
                                     support::clock::time_point asked_at) {
  if (message.config_staleness)
    config_staleness_.apply_peer(message.config_version, *message.config_staleness, asked_at,
                                 config_version());
  if (message.entries_staleness)
    target_staleness_.apply_peer(message.entries_version, *message.entries_staleness, asked_at,
                                 target_rows_.newest_row_version());
}

static std::chrono::milliseconds part_of(std::chrono::milliseconds span, double fraction) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span * fraction);
}

void edge_node::set_time_limits() {
  const double fraction = direct_read_policy::poll_fraction;
  config_follower_.set_poll_time(part_of(settings_.config_time_limit, fraction));
  target_follower_.set_poll_time(part_of(settings_.target_time_limit, fraction));
}

void edge_node::update_staleness() {
  const auto config_limit = settings_.config_time_limit;
  const auto target_limit = settings_.target_time_limit;
  config_staleness_.update(config_version(), config_limit);
  target_staleness_.update(target_rows_.newest_row_version(), target_limit);
  read_if_stale(config_follower_, config_staleness_, config_reads_, config_limit);
  read_if_stale(target_follower_, target_staleness_, target_reads_, target_limit);
}

std::optional<std::size_t> edge_node::place_among_hubs() {
  const auto& hubs = fleet_.roles().hubs;
  const auto self = std::find_if(hubs.begin(), hubs.end(),
                                 [&](const auto& hub) { return hub.id == settings_.id; });
  return self == hubs.end() ? std::nullopt : std::optional<std::size_t>(self - hubs.begin());
}

void edge_node::read_if_stale(table::table_follower& follower, const staleness_watch& watch,
                              direct_read_policy& policy, std::chrono::milliseconds time_limit) {
  if (!policy.should_read(watch.staleness(), time_limit, place_among_hubs(),
                          fleet_.roles().hubs.size()))
    return;
  policy.begin_read();
  support::spawn(context_.executor, "read_directly",
                 read_directly(follower, watch, policy, time_limit));
}

support::task<> edge_node::read_directly(table::table_follower& follower,
                                         const staleness_watch& watch, direct_read_policy& policy,
                                         std::chrono::milliseconds time_limit) {
  if (watch.has_missed_store())
    follower.treat_next_answer_as_reconnection();
  bool answered = false;
  try {
    answered = co_await follower.read_now_within(
        part_of(time_limit, direct_read_policy::timeout_fraction));
  } catch (...) {
    policy.end_read(/*answered=*/false, time_limit);
    throw;
  }
  policy.end_read(answered, time_limit);
}

void edge_node::apply_peer_message(const gateway::fleet_message& message,
                                   std::optional<support::clock::time_point> asked_at) {
  const std::string& peer = message.sender.peer_address;
  observe_store_era(message.store_era);
  if (message.summary.store_recovery_age &&
      *message.summary.store_recovery_age < gateway::target_registry::outage_grace_period)
    registry_.mark_store_recovered(*message.summary.store_recovery_age);
  for (const auto& [target, started_at_ms] : message.summary.leaving)
    registry_.mark_leaving(target, started_at_ms);
  for (const auto& [target, notice] : message.cold)
    registry_.mark_cold(target, notice);
  limits_.merge(message.summary.limits);
  registry_.merge_sightings(message.summary.sightings);
  peer_has_config_ = peer_has_config_ || message.config_version > 0;
  if (message.evacuations)
    evacuations_.merge(*message.evacuations);
  if (asked_at)
    apply_peer_staleness(message, *asked_at);
  if (message.nodes)
    cold_targets_.learn_size(*message.nodes);
  if (message.config_version > config_version() && !std::exchange(fetching_config_, true))
    support::spawn(context_.executor, "fetch_config", fetch_config(peer));
  crash_keeper_.apply_peer_message(message);
  const bool is_ahead = message.entries_version > target_rows_.newest_row_version();
  if (is_ahead && needs_rows_of_peers() && !std::exchange(fetching_target_rows_, true))
    support::spawn(context_.executor, "fetch_entries", fetch_target_rows(peer));
}

bool edge_node::may_plan() {
  return fleet_.others().empty() ? reading_.is_active() : fleet_.roles().is_planner(settings_.id);
}

void edge_node::update_reading() {
  if (!reading_.update(fleet_.others().empty(), fleet_.roles().is_reader(settings_.id)))
    return;
  // This node may see the store return from an outage that it has not seen itself. While its copy
  // is current, others have lost the store alone.
  others_missed_store_ =
      reading_.is_active() && target_staleness_.is_stale() &&
      std::any_of(fleet_.others().begin(), fleet_.others().end(),
                  [](const auto& other) { return !other.second.status.reaches_store; });
  if (others_missed_store_)
    target_follower_.treat_next_answer_as_reconnection();
  support::log_event(support::log_level::info,
                     reading_.is_active() ? "store_reader_started" : "store_reader_stopped",
                     {{"nodes", std::to_string(live_node_count())}});
}

support::task<> edge_node::fetch_target_rows(std::string peer_address) {
  const flag_reset reset(fetching_target_rows_);
  net::client_request request;
  request.address = peer_address;
  request.target =
      std::string(gateway::entries_path) + "?since=" + std::to_string(target_rows_.version());
  const std::optional<std::string> text = co_await fetch_from_peer(
      std::move(request), target_rows_fetch_timeout, target_rows_fetch_failed_event);
  try {
    if (text) {
      const table::feed_batch batch = table::batch_from_json(*text);
      apply_target_rows(batch, batch.history_truncated);
    }
  } catch (const nlohmann::json::exception& error) {
    log_fetch_failure(target_rows_fetch_failed_event, peer_address, error.what());
  }
}

support::task<> edge_node::run_housekeeping() {
  for (;;) {
    registry_.expire();
    member_checker_.update(place_among_planners());
    pauses_.expire();
    observe_store_era(context_.store.era());
    observe_store_era(table::era_of(target_rows_.version()));
    detect_first_traffic();
    update_staleness();
    update_reading();
    chooser_.set_node_count(live_node_count());
    update_cold_targets();
    update_schedulers();
    crash_keeper_.update();
    paths_.check();
    for (const std::string& service : paths_.take_silent_services())
      support::spawn(context_.executor, "confirm_silence", confirm_silence(service));
    update_limits();
    for (const std::string& target : stalls_.check()) {
      if (!paths_.is_in_doubt())
        suspicions_.suspect(target, "it stands still");
    }
    slot_queue_.assign_free_slots();
    support::flush_log();
    co_await context_.time.sleep_for(housekeeping_interval);
  }
}

/// Returns an empty name, which is no home, if the region is unknown.
std::string edge_node::region_of(const std::string& data_centre) const {
  const auto found = settings_.regions.find(data_centre);
  return found == settings_.regions.end() ? "" : found->second;
}

std::vector<gateway::relay_node> edge_node::relays() {
  std::vector<gateway::relay_node> found;
  for (const auto& [id, other] : fleet_.others()) {
    const gateway::node_status& status = other.status;
    if (status.ready && !status.leaving && status.reaches_targets)
      found.push_back({status.peer_address, std::max(status.cores, min_relay_weight),
                       region_of(status.data_centre)});
  }
  return found;
}

support::task<> edge_node::probe_lost_services() {
  for (;;) {
    co_await context_.time.sleep_for(lost_service_probe_interval);
    for (const std::string& service : paths_.lost_services()) {
      const bool answered = co_await probe_any_target(service);
      paths_.record_probe(service, answered);
    }
  }
}

support::task<> edge_node::confirm_silence(std::string service) {
  const bool answered = co_await probe_any_target(service);
  if (!answered)
    paths_.record_silence(service);
}

support::task<bool> edge_node::probe_any_target(std::string service) {
  std::vector<gateway::target_entry> targets;
  for (const auto& [id, target] : registry_.all()) {
    if (target.entry.service == service && !target.entry.draining &&
        !evacuations_.is_closed(target.entry.data_centre))
      targets.push_back(target.entry);
  }
  if (targets.empty())
    co_return false;
  gateway::target_entry probed = targets[context_.random.below(targets.size())];
  co_return co_await context_.prober.probe(std::move(probed));
}

bool edge_node::group_progresses(const gateway::target_entry& member) const {
  const auto& targets = registry_.all();
  return std::any_of(targets.begin(), targets.end(), [&](const auto& each) {
    const gateway::target_entry& entry = each.second.entry;
    return entry.membership && entry.membership->rank == 0 && entry.service == member.service &&
           entry.membership->group == member.membership->group &&
           entry.membership->epoch == member.membership->epoch && stalls_.is_writing(entry.id);
  });
}

std::optional<std::size_t> edge_node::place_among_planners() {
  std::size_t place = 0;
  for (const std::string& id : fleet_.roles().planners) {
    if (id == settings_.id)
      return paths_.has_lost_all() ? std::nullopt : std::optional(place);
    const auto other = fleet_.others().find(id);
    place += other != fleet_.others().end() && other->second.status.reaches_targets ? 1 : 0;
  }
  return std::nullopt;
}

void edge_node::update_limits() {
  if (limits_.empty())
    return;
  std::vector<std::string> serving;
  for (const auto& [id, other] : fleet_.others()) {
    if (other.status.ready && !other.status.leaving)
      serving.push_back(id);
  }
  limits_.retain([this](const std::string& target, std::int64_t started_at_ms) {
    const gateway::target_entry* entry = registry_.find(target);
    return entry && entry->started_at_ms == started_at_ms;
  });
  limits_.update(serving, settings_.id);
}

void edge_node::update_cold_targets() {
  std::vector<std::string> others;
  for (const auto& [id, other] : fleet_.others())
    others.push_back(id);
  const bool expects_others =
      std::any_of(settings_.seeds.begin(), settings_.seeds.end(),
                  [this](const std::string& seed) { return seed != settings_.peer_address; });
  cold_targets_.update(others, settings_.id, expects_others);
}

void edge_node::update_schedulers() {
  if (!config_.current())
    return;
  std::vector<const gateway::node_status*> live{&status()};
  for (const auto& [id, other] : fleet_.others())
    live.push_back(&other.status);
  schedulers_.update(live, fleet_.roles(), *config_.current());
  scheduler_service_.update(schedulers_);
  scheduler_client_.update();
}

void edge_node::detect_first_traffic() {
  if (!traffic_since_ && (requests_.handled() > 0 || fleet_.others_summary().has_served))
    traffic_since_ = context_.time.now();
}

bool edge_node::ready() const {
  return !is_leaving() && config_.current() && registry_.was_read() && evacuations_.was_read() &&
         crash_keeper_.knows_bans();
}

const gateway::node_status& edge_node::status() {
  gateway::node_status current = status_;
  current.id = settings_.id;
  current.data_centre = settings_.data_centre;
  current.public_address = settings_.public_address;
  current.peer_address = settings_.peer_address;
  current.incarnation = incarnation_;
  current.cores = settings_.cores;
  current.ready = ready();
  current.leaving = is_leaving();
  current.reaches_store =
      config_follower_.is_store_reachable() && target_follower_.is_store_reachable();
  current.shows_store = current.reaches_store && has_store_evidence();
  current.reaches_targets = !paths_.has_lost_all();
  if (current != status_) {
    ++current.revision;
    status_ = std::move(current);
  }
  return status_;
}

bool edge_node::has_store_evidence() const {
  const auto is_recent = [this](const table::table_follower& follower) {
    const auto answered_at = follower.answered_at();
    return answered_at && context_.time.now() - *answered_at < store_evidence_max_age;
  };
  return is_recent(config_follower_) || is_recent(target_follower_);
}

static std::chrono::milliseconds to_milliseconds(std::chrono::nanoseconds span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

gateway::fleet_exchange::own_report edge_node::report() {
  gateway::fleet_exchange::own_report report;
  report.status = status();
  report.config_version = config_version();
  report.entries_version = target_rows_.newest_row_version();
  report.config_staleness = config_staleness_.staleness_to_report();
  report.entries_staleness = target_staleness_.staleness_to_report();
  report.store_era = store_era_;
  report.crash_digest = crash_causes_.evidence().digest();
  if (evacuations_.was_read())
    report.evacuations = evacuations_.known();
  report.nodes = cold_targets_.size();
  report.cold = registry_.cold_notices_to_report();
  gateway::fleet_summary& summary = report.summary;
  summary.loads = loads_.own_loads();
  summary.demand = demand_.demand();
  for (const std::string& head : stalls_.recent_stalls())
    summary.stalled.insert(head);
  // What fails because of this node's own connections says nothing to others.
  if (!paths_.is_in_doubt()) {
    for (const std::string& target : suspicions_.own())
      summary.suspects[target] = 1;
  }
  summary.leaving = registry_.leaving();
  summary.limits = limits_.known();
  summary.sightings = member_checker_.sightings();
  if (replica_controller_.leads())
    summary.leader = settings_.id;
  summary.has_served = requests_.handled() > 0;
  if (const auto answered_at = target_follower_.answered_at())
    summary.store_answer_age = to_milliseconds(context_.time.now() - *answered_at);
  // Also passed on by nodes that learned it from a reader, since they pass on its rows too.
  if (const auto age = registry_.store_recovery_age();
      age && *age < gateway::target_registry::outage_grace_period)
    summary.store_recovery_age = to_milliseconds(*age);
  return report;
}

gateway::slot_demand edge_node::total_demand() const {
  if (!traffic_since_ || context_.time.now() - *traffic_since_ < demand_settling_time)
    return {};
  gateway::slot_demand sum = demand_.demand();
  for (const auto& [pool, slots] : fleet_.others_summary().demand)
    sum[pool] += slots;
  return sum;
}

std::vector<std::string> edge_node::all_stalled_heads() const {
  std::vector<std::string> heads = stalls_.recent_stalls();
  const auto others = fleet_.others_summary().stalled;
  heads.insert(heads.end(), others.begin(), others.end());
  return heads;
}

std::vector<std::string> edge_node::entry_points(const std::string& data_centre,
                                                 const std::string& host,
                                                 const std::string& region) {
  std::vector<gateway::node_status> nodes;
  for (const auto& [id, other] : fleet_.others())
    nodes.push_back(other.status);
  nodes.push_back(status());
  // A node that has just started would refuse what it gets; callers ask another one.
  const bool any_serves = std::any_of(nodes.begin(), nodes.end(),
                                      [](const auto& each) { return each.ready && !each.leaving; });
  if (!any_serves && !config_.current())
    return {};
  if (config_.current()) {
    const gateway::home_regions homes = config_.current()->homes_of(host).with_region(
        region.empty() ? region_of(data_centre) : region);
    std::erase_if(nodes, [&](const gateway::node_status& each) {
      return !homes.allows(each.data_centre, settings_.regions);
    });
  }
  return gateway::select_gateway_addresses(nodes, data_centre, settings_.min_entry_points);
}

support::task<> edge_node::handle_caller(net::server_request request,
                                         net::response_writer& writer) {
  return requests_.handle(std::move(request), writer);
}

/// Returns the version after which rows are requested; 0 (all rows) if the request has none.
static std::uint64_t parse_since(const net::server_request& request) {
  const std::string text = request.query_value("since").value_or("0");
  std::uint64_t since = 0;
  std::from_chars(text.data(), text.data() + text.size(), since);
  return since;
}

support::task<> edge_node::handle_peer(net::server_request request, net::response_writer& writer) {
  if (request.path == gateway::config_path) {
    if (config_text_.empty())
      net::send_problem(writer, {404, "no-configuration", "ask another node or the store"});
    else
      net::send_json(writer, 200, config_text_);
    co_return;
  }
  if (request.path == gateway::entries_path) {
    // A node without any rows needs a snapshot to know that it has read the whole table.
    const std::uint64_t since = parse_since(request);
    net::send_json(
        writer, 200,
        table::to_json(since == 0 ? target_rows_.snapshot() : target_rows_.changes(since)));
    co_return;
  }
  if (request.path == gateway::crashes_path) {
    net::send_json(writer, 200, crash_causes_.to_json());
    co_return;
  }
  if (gateway::request_relay::handles(request)) {
    co_await relay_.handle(std::move(request), writer);
    co_return;
  }
  if (request.path == scheduling::slots_path) {
    co_await scheduler_service_.handle(std::move(request), writer);
    co_return;
  }
  if (request.path.starts_with(probe_prefix)) {
    co_await prober_.handle(std::move(request), registry_, writer);
    co_return;
  }
  if (request.path == gateway::trials_path) {
    trials_.handle(request, writer);
    co_return;
  }
  if (request.path == lift_path) {
    crash_keeper_.lift(request, writer);
    co_return;
  }
  if (request.path == state_path) {
    const state_report_input state{context_.time,
                                   status(),
                                   fleet_.others(),
                                   fleet_.roles(),
                                   fleet_.others_summary(),
                                   config_,
                                   registry_,
                                   groups_,
                                   loads_,
                                   suspicions_,
                                   crash_causes_.evidence(),
                                   evacuations_,
                                   cold_targets_,
                                   paths_,
                                   retries_,
                                   lease_,
                                   store_era_,
                                   slot_queue_.waiting(),
                                   target_follower_.answered_at(),
                                   config_staleness_.staleness(),
                                   target_staleness_.staleness()};
    net::send_json(writer, 200, support::to_json_text(make_state_report(state)));
    co_return;
  }
  if (request.path != gateway::fleet_path) {
    net::send_problem(writer, {404, "unknown-path", "not a path of the peer protocol"});
    co_return;
  }
  try {
    net::send_json(writer, 200, exchange_.answer(request.body));
  } catch (const nlohmann::json::exception& error) {
    net::send_problem(writer, {400, "bad-message", error.what()});
  }
}

gateway::shutdown_state edge_node::shutdown() {
  if (!is_leaving())
    return {};
  const auto serves = [](const auto& other) {
    return other.second.status.ready && !other.second.status.leaving;
  };
  const auto& others = fleet_.others();
  return {phase_, exits_at_, std::any_of(others.begin(), others.end(), serves), leaves_since_};
}

support::task<> edge_node::leave() {
  phase_ = gateway::shutdown_phase::leaving;
  leaves_since_ = context_.time.now();
  exits_at_ = leaves_since_ + settings_.termination_grace - termination_margin;
  support::log_event(support::log_level::info, "leaving");
  exchange_.announce();
  support::spawn(context_.executor, "step_down", replica_controller_.step_down());
  const auto drain_time = settings_.entries_valid_for * max_entry_reuse_factor + announcement_time;
  co_await context_.time.sleep_for(std::min(drain_time, settings_.termination_grace / 2));
  phase_ = gateway::shutdown_phase::closing;
}

std::optional<std::chrono::milliseconds> edge_node::idle_time_limit() const {
  return config_.current() ? config_.current()->limits.idle_time : std::nullopt;
}

std::string edge_node::metrics(gateway::gateway_gauges gauges) {
  gauges.waiting_requests = slot_queue_.waiting();
  gauges.scheduled_requests = scheduler_service_.waiting();
  gauges.known_targets = registry_.all().size();
  gauges.live_peers = fleet_.others().size();
  gauges.config_version = config_version();
  gauges.store_era = store_era_;
  gauges.config_staleness = config_staleness_.staleness();
  gauges.target_staleness = target_staleness_.staleness();
  gauges.held_members = registry_.held_members().size();
  gauges.evacuated_data_centres = evacuations_.evacuated().size();
  gauges.cold_targets = registry_.cold_count();
  gauges.held_bytes = memory_.used();
  gauges.held_bytes_limit = memory_.is_limited() ? memory_.limit() : 0;
  gauges.memory_denials = memory_.denials();
  gauges.leads = replica_controller_.leads();
  return metrics_.serialize(gauges);
}

} // namespace camphorlug::edge
