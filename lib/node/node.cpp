#include "camphorlug/node/node.h"

#include "camphorlug/groups/table_lease.h"
#include "camphorlug/net/problem.h"
#include "camphorlug/node/entry_points.h"
#include "camphorlug/node/operator_api.h"
#include "camphorlug/peers/http_peer_client.h"
#include "camphorlug/routing/rendezvous.h"
#include "camphorlug/support/digest.h"
#include "camphorlug/support/log.h"
#include "camphorlug/table/store_error.h"

#include <algorithm>

namespace camphorlug::node {

static constexpr std::chrono::seconds instance_list_interval{1};
static constexpr std::chrono::milliseconds housekeeping_interval{200};
/// Time until all peers have learned that this node is shutting down.
static constexpr std::chrono::milliseconds announcement_time{1500};

/// The planner of a pool and the lease that allows it to plan.
struct node::pool_planner {
  pool_planner(node& owner, const documents::service_document& document)
      : lease(owner.context_.store, owner.context_.time, owner.context_.random, document.pool,
              owner.settings_.id),
        planner({owner.context_.executor, owner.context_.time, owner.context_.random,
                 owner.context_.store, owner.rows_, owner.documents_, owner.directory_,
                 owner.observations_, owner.context_.targets, owner.live_groups_, lease,
                 owner.placement_},
                document.service, document.pool) {}

  groups::table_lease lease;
  groups::group_planner planner;
};

node::node(node_context context, node_settings settings)
    : context_(context), settings_(std::move(settings)),
      incarnation_(support::make_incarnation(context.time)), peer_registry_(settings_.id),
      documents_(rows_), editor_(context.store, rows_, context.time),
      live_groups_(context.time, rows_, documents_, directory_, observations_),
      isolation_(context.time, peer_registry_),
      reader_(context.time, context.store, rows_, isolation_, [this] { return is_reader(); }),
      watcher_(context.executor, context.time, context.random, context.targets, directory_,
               observations_, settings_.id,
               [this](const table::listed_instance& instance) { return should_watch(instance); }),
      gossip_(
          {context.executor, context.time, context.random, context.peers, peer_registry_, rows_,
           directory_, observations_, settings_.id, settings_.operator_address},
          settings_.seeds, [this] { return report(); },
          [this](std::uint64_t seen_incarnation) {
            // A peer knows a later incarnation, for example because the clock was set back.
            if (seen_incarnation > incarnation_)
              incarnation_ = seen_incarnation + 1;
          }),
      claims_(context.store), requests_({context.executor, context.time, context.random,
                                         context.targets, claims_, metrics_, settings_.stream_key},
                                        documents_, live_groups_, picker_,
                                        settings_.near_data_centres, [this] { return serves(); }) {
  documents_.add_listener(
      [this](const documents::active_document& active) { start_planner(active); });
}

node::~node() = default;

void node::start() {
  begin_lasting("read_store", [this] { return reader_.run(); });
  begin_lasting("read_instances", [this] { return read_instances(); });
  begin_lasting("gossip", [this] { return gossip_.run(); });
  begin_lasting("push_changes", [this] { return gossip_.push_changes(); });
  begin_lasting("pump", [this] { return requests_.run_dispatch_loop(); });
  begin_lasting("housekeeping", [this] { return run_housekeeping(); });
}

void node::begin_lasting(std::string name, std::function<support::task<>()> begin) {
  support::spawn_lasting(context_.executor, context_.time, std::move(name), std::move(begin));
}

void node::start_planner(const documents::active_document& active) {
  const documents::service_document& document = active.document;
  if (!document.model || planners_.contains(document.service))
    return;
  auto& created = planners_[document.service];
  created = std::make_unique<pool_planner>(*this, document);
  groups::group_planner& planner = created->planner;
  begin_lasting("plan " + document.pool, [&planner] { return planner.run(); });
  begin_lasting("lease " + document.pool, [&planner] { return planner.keep_lease(); });
}

support::task<> node::read_instances() {
  for (;;) {
    try {
      const std::vector<table::listed_instance> list = co_await context_.instances.list();
      directory_.update(list, context_.time.now());
    } catch (const table::store_error&) {
      // Keep using the previous list.
    }
    watcher_.refresh();
    co_await context_.time.sleep_for(instance_list_interval);
  }
}

support::task<> node::run_housekeeping() {
  for (;;) {
    isolation_.update();
    support::flush_log();
    co_await context_.time.sleep_for(housekeeping_interval);
  }
}

/// Returns the rank, from 0, of this node among its live peers of `data_centre` (of all, if it is
/// empty) by rendezvous hashing with `key`.
static std::size_t rank_among_peers(const std::string& self, const std::string& data_centre,
                                    const peers::peer_registry& registry,
                                    support::clock::time_point now, std::uint64_t key) {
  const std::uint64_t own = routing::rendezvous_weight(key, support::fast_hash(self));
  std::size_t rank = 0;
  for (const auto& [id, peer] : registry.peers()) {
    const bool is_candidate = (data_centre.empty() || peer.report.data_centre == data_centre) &&
                              !peer.report.leaving && !registry.is_suspected(peer, now);
    if (is_candidate && routing::rendezvous_weight(key, support::fast_hash(id)) > own)
      ++rank;
  }
  return rank;
}

bool node::is_reader() const {
  if (!isolation_.has_peer_majority_contact())
    return true;
  return rank_among_peers(settings_.id, settings_.data_centre, peer_registry_, context_.time.now(),
                          /*key=*/0) < settings_.readers_per_data_centre;
}

bool node::should_watch(const table::listed_instance& instance) const {
  return rank_among_peers(settings_.id, "", peer_registry_, context_.time.now(),
                          support::fast_hash(instance.id)) < settings_.watchers_per_instance;
}

bool node::serves() const {
  const bool knows_documents = reader_.has_read() || !documents_.all().empty();
  return knows_documents && !isolation_.isolated();
}

peers::node_report node::report() {
  peers::node_report report;
  report.id = settings_.id;
  report.address = settings_.address;
  report.peer_address = settings_.operator_address;
  report.data_centre = settings_.data_centre;
  report.incarnation = incarnation_;
  report.leaving = leaving_;
  // Also true before the first read of documents, so that callers are not sent here.
  report.isolated = !serves();
  for (const auto& active : documents_.all())
    report.documents[active->document.service] = active->version.number;
  report.sequence = last_report_.sequence + 1;
  report.revision = last_report_.revision + (report.has_same_content_as(last_report_) ? 0 : 1);
  last_report_ = report;
  return report;
}

std::vector<groups::planner_status> node::planner_statuses() const {
  std::vector<groups::planner_status> statuses;
  for (const auto& [service, planner] : planners_)
    statuses.push_back(planner->planner.status());
  return statuses;
}

support::task<> node::leave() {
  leaving_ = true;
  support::log_event(support::log_level::info, "leaving");
  co_await gossip_.announce();
  for (auto& [service, planner] : planners_)
    co_await planner->planner.step_down();
  co_await context_.time.sleep_for(settings_.entries_valid_for + announcement_time);
}

support::task<> node::handle_caller(net::server_request request, net::response_writer& writer) {
  if (request.path.starts_with("/services/")) {
    co_await requests_.handle(std::move(request), writer);
    co_return;
  }
  if (request.path == "/v1/entries")
    send_entry_points(request, writer);
  else if (request.path == "/healthz")
    net::send_json(writer, serves() ? 200 : 503, "{}\n");
  else
    net::send_problem(writer, {404, "unknown-path",
                               "use /v1/entries or /services/{service}/..., not " + request.path});
}

void node::send_entry_points(const net::server_request& request, net::response_writer& writer) {
  const std::string near = request.query_value("data_centre").value_or(settings_.data_centre);
  const auto entries = list_entry_points(report(), serves() && !leaving_, peer_registry_, near,
                                         context_.time.now(), context_.random);
  net::send_json(writer, 200, to_json(entries, settings_.entries_valid_for));
}

support::task<> node::handle_operator(net::server_request request, net::response_writer& writer) {
  if (request.path == peers::exchange_path) {
    answer_peer_request(request, writer);
    co_return;
  }
  if (request.path == "/metrics") {
    send_metrics(writer);
    co_return;
  }
  operator_api api(*this);
  co_await api.handle(std::move(request), writer);
}

peers::peer_message node::answer_peer(const peers::peer_message& message) {
  return gossip_.answer(message);
}

void node::answer_peer_request(const net::server_request& request, net::response_writer& writer) {
  const std::string given = request.headers.find(peers::signature_header).value_or("");
  const std::string expected = support::hmac_sha256_hex(settings_.peer_key, request.body);
  if (!support::equal_in_constant_time(given, expected)) {
    net::send_problem(writer, {401, "bad-signature", "the exchange is not signed with peer_key"});
    return;
  }
  peers::peer_message message;
  try {
    message = peers::peer_message::from_json(request.body);
  } catch (const std::exception& error) {
    net::send_problem(writer, {400, "bad-message", error.what()});
    return;
  }
  std::string body = answer_peer(message).to_json();
  net::header_list headers;
  headers.add("Content-Type", "application/json");
  headers.add(peers::signature_header, support::hmac_sha256_hex(settings_.peer_key, body));
  writer.send(200, std::move(headers), std::move(body));
}

void node::send_metrics(net::response_writer& writer) {
  const auto now = context_.time.now();
  node_gauges gauges;
  gauges.waiting_requests = requests_.waiting();
  gauges.watched_instances = watcher_.watched();
  for (const auto& [id, peer] : peer_registry_.peers())
    gauges.live_peers += peer_registry_.is_suspected(peer, now) ? 0 : 1;
  gauges.isolated = isolation_.isolated();
  gauges.store_reachable = isolation_.store_reachable();
  metrics_.set(gauges);
  for (const groups::planner_status& status : planner_statuses())
    metrics_.set({status.service, status.wanted_groups, status.routable_groups,
                  status.stranded_instances,
                  std::chrono::duration<double>(status.group_downtime).count()});
  net::header_list headers;
  headers.add("Content-Type", "text/plain; version=0.0.4");
  writer.send(200, std::move(headers), metrics_.serialize());
}

} // namespace camphorlug::node
