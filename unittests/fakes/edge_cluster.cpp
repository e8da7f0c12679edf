#include "fakes/edge_cluster.h"

#include "camphorlug/edge/state_report.h"
#include "camphorlug/gateway/fleet_exchange.h"
#include "camphorlug/net/transport_error.h"

#include "fakes/earlier_build.h"
#include "fakes/gateway_fixture.h"

#include <cstdio>
#include <sstream>

namespace camphorlug::fakes {

using namespace std::chrono_literals;
using net::request_progress;
using net::transport_error;

static constexpr auto network_delay = 1ms;
static constexpr const char* config_table = "config";
static constexpr const char* config_key = "current";
static constexpr const char* evacuation_prefix = "evacuate/";
static constexpr const char* target_table = "targets";
static constexpr const char* own_table = "own";

std::shared_ptr<const gateway::routing_config>
minimal_row_decoder::read_config(const std::string& text) const {
  auto config = std::make_shared<gateway::routing_config>();
  std::istringstream words(text);
  words >> config->version;
  std::map<std::string, gateway::home_regions> homes;
  for (std::string word; words >> word;) {
    if (word == "engines") {
      words >> word;
      continue;
    }
    if (word.find('=') == std::string::npos) {
      config->services["shop"].cold_requests_per_second = std::stod(word);
      continue;
    }
    std::istringstream names(word.substr(word.find('=') + 1));
    std::set<std::string> allowed;
    for (std::string name; std::getline(names, name, ',');)
      allowed.insert(name);
    homes[word.substr(0, word.find('='))] = gateway::home_regions(std::move(allowed));
  }
  gateway::route route;
  route.name = "plain";
  route.host = "example";
  route.path_prefix = "/plain/";
  route.kind = gateway::request_kind::idempotent;
  route.services = {{"shop", 1}};
  route.homes = homes["plain"];
  config->add_route(route);
  route.name = "stream";
  route.path_prefix = "/stream/";
  route.kind = gateway::request_kind::stream;
  route.resumable = true;
  route.attempts = 2;
  route.homes = homes["stream"];
  config->add_route(route);
  route.name = "once";
  route.path_prefix = "/once/";
  route.kind = gateway::request_kind::non_idempotent;
  route.resumable = false;
  route.attempts = 1;
  route.homes = homes["once"];
  config->add_route(route);
  config->services["shop"].name = "shop";
  if (std::size_t size = 0; std::sscanf(text.c_str(), "%*u engines %zu", &size) == 1) {
    gateway::service_spec& engines = config->services["engines"];
    engines.name = "engines";
    engines.engine.emplace();
    engines.engine->batch_slots = 4;
    gateway::model_profile model;
    model.name = "model";
    model.size = size;
    engines.engine->models.push_back(model);
    route.name = "engines";
    route.path_prefix = "/engines/";
    route.services = {{"engines", 1}};
    config->add_route(route);
  }
  return config;
}

std::optional<gateway::target_entry>
minimal_row_decoder::read_target(const std::string& id, const std::string& text) const {
  gateway::target_entry entry;
  entry.id = id;
  entry.slots = 4;
  std::istringstream words(text);
  words >> entry.service >> entry.address >> entry.data_centre;
  std::int64_t number = 0;
  words >> number;
  gateway::group_membership membership;
  if (words >> membership.group >> membership.epoch >> membership.rank) {
    entry.started_at_ms = number;
    entry.model = "model";
    membership.state =
        membership.rank == 0 ? gateway::membership_state::open : gateway::membership_state::ready;
    entry.membership = membership;
  } else {
    entry.warm_up_remaining = std::chrono::milliseconds(number);
  }
  return entry;
}

support::task<replicas::order_result> null_instance_client::send(replicas::replica_order order,
                                                                 std::function<bool()>) {
  orders.push_back(std::move(order));
  co_return replicas::order_result::not_sent;
}

support::task<bool> null_instance_client::probe(gateway::target_entry entry) {
  co_return !is_alive || is_alive(entry.id);
}

support::task<bool> node_prober::probe(gateway::target_entry entry) {
  if (instances_.is_cut_off && instances_.is_cut_off(self_))
    co_return false;
  co_return co_await instances_.probe(std::move(entry));
}

support::task<replicas::report_result> null_instance_client::report(gateway::target_entry entry) {
  ++reports;
  if (!report_of)
    co_return replicas::report_result{};
  co_return report_of(entry.id);
}

support::task<replicas::report_result> node_prober::report(gateway::target_entry entry) {
  if (instances_.is_cut_off && instances_.is_cut_off(self_))
    co_return replicas::report_result{};
  instances_.last_reporter = self_;
  co_return co_await instances_.report(std::move(entry));
}

namespace {

/// Drops what a node of an earlier build neither sends nor reads.
std::string without_sightings(const std::string& message) {
  nlohmann::json value = nlohmann::json::parse(message, nullptr, false);
  if (value.is_discarded() || !value.contains("sum"))
    return message;
  value["sum"].erase("seen");
  return value.dump();
}

/// A request to a peer, which handles it in the same process.
class peer_exchange final : public net::http_exchange {
public:
  peer_exchange(support::clock& time, peer_network& network, std::string self,
                net::client_request request)
      : time_(time), network_(network), self_(std::move(self)), request_(std::move(request)) {}

  support::task<net::response_head> head(std::chrono::nanoseconds timeout) override {
    const auto reachable = [this] {
      return network_.nodes.contains(request_.address) && !network_.cut.contains(self_) &&
             !network_.cut.contains(request_.address);
    };
    if (!reachable()) {
      co_await time_.sleep_for(timeout);
      throw transport_error(request_progress::not_sent, true, "no answer");
    }
    co_await time_.sleep_for(network_delay);
    if (!reachable())
      throw transport_error(request_progress::may_have_been_read, false, "reset");
    if (request_.send_if && !request_.send_if())
      throw transport_error(request_progress::not_sent, false, "withheld");
    net::server_request request;
    request.method = request_.method;
    request.target = request_.target;
    request.headers = request_.headers;
    const std::size_t query_start = request_.target.find('?');
    request.path = request_.target.substr(0, query_start);
    if (query_start != std::string::npos)
      request.query = request_.target.substr(query_start + 1);
    ++network_.requests[request.path.substr(0, request.path.find('/', path_length_counted))];
    const bool knows_no_sightings = network_.without_sightings.contains(self_) ||
                                    network_.without_sightings.contains(request_.address);
    request.body = translate(request.path, request_.body);
    if (knows_no_sightings)
      request.body = without_sightings(request.body);
    if (network_.earlier_builds.contains(request_.address) &&
        !earlier_build::knows_path(request.path)) {
      answer_.status = 404;
    } else {
      const std::string path = request.path;
      co_await network_.nodes.at(request_.address)(std::move(request), answer_);
      if (answer_.status == 200)
        answer_.body = translate(path, answer_.body);
    }
    if (knows_no_sightings)
      answer_.body = without_sightings(answer_.body);
    co_await time_.sleep_for(network_delay);
    if (answer_.aborted)
      throw transport_error(request_progress::may_have_been_read, false, "reset");
    co_return net::response_head{answer_.status, answer_.headers};
  }

  support::task<std::optional<std::string>> read(std::chrono::nanoseconds) override {
    if (std::exchange(was_read_, true))
      co_return std::nullopt;
    co_return answer_.body;
  }

  void cancel() override {}

private:
  /// Returns a body as an earlier build at one of the ends writes or reads it.
  std::string translate(const std::string& path, const std::string& body) const {
    if (body.empty() || (!network_.earlier_builds.contains(self_) &&
                         !network_.earlier_builds.contains(request_.address)))
      return body;
    if (path == gateway::fleet_path)
      return earlier_build::pass_on(body);
    return path == gateway::crashes_path ? earlier_build::pass_on_evidence(body) : body;
  }

  /// What follows in a path are parameters.
  static constexpr std::size_t path_length_counted = std::string_view("/camphorlug/v1/").size();

  support::clock& time_;
  peer_network& network_;
  std::string self_;
  net::client_request request_;
  recording_writer answer_;
  bool was_read_ = false;
};

} // namespace

std::unique_ptr<net::http_exchange> node_client::open(net::client_request request) {
  if (request.address.starts_with("peer"))
    return std::make_unique<peer_exchange>(time_, network_, self_, std::move(request));
  // A relayed request names the node that sent it first.
  net::header_list headers;
  headers.add("Node", self_);
  for (const net::header& each : request.headers) {
    if (!net::same_header_name(each.name, "Node"))
      headers.add(each.name, each.value);
  }
  request.headers = std::move(headers);
  return targets_->open(std::move(request));
}

edge_cluster::edge_cluster(std::size_t count, std::uint64_t random_seed) : random(random_seed) {
  edges.resize(count);
  for (std::size_t i = 0; i < count; ++i)
    start(i);
  // The platform publishes the rows that the nodes write in the same way as all other rows.
  own_rows.before_commit = [this](const table::transaction& change) {
    for (const auto& row : change.writes)
      tables.put(own_table, row.key, row.value.value_or(""));
  };
}

edge_cluster::~edge_cluster() {
  clock.shut_down();
}

void edge_cluster::set_config(std::uint64_t version, double cold_rate) {
  set_config(version, std::to_string(cold_rate));
}

void edge_cluster::set_config(std::uint64_t version, const std::string& details) {
  tables.put(config_table, config_key, std::to_string(version) + " " + details);
}

void edge_cluster::set_config_with_engines(std::uint64_t version, std::size_t size) {
  set_config(version, "engines " + std::to_string(size));
}

void edge_cluster::add_target(const std::string& id, const std::string& data_centre,
                              std::chrono::milliseconds warm_up_remaining) {
  tables.put(target_table, id,
             "shop " + id + " " + data_centre + " " + std::to_string(warm_up_remaining.count()));
}

void edge_cluster::remove_target(const std::string& id) {
  tables.remove(target_table, id);
}

void edge_cluster::evacuate(const std::string& data_centre) {
  tables.put(config_table, evacuation_prefix + data_centre, "{}");
}

void edge_cluster::end_evacuation(const std::string& data_centre) {
  tables.remove(config_table, evacuation_prefix + data_centre);
}

support::task<> edge_cluster::write_again(std::string table, table::feed_row lost,
                                          std::chrono::milliseconds delay) {
  const auto restored = tables.tables[table].find(lost.key);
  const std::uint64_t version =
      restored == tables.tables[table].end() ? 0 : restored->second.version;
  const std::uint64_t era = tables.era;
  co_await clock.sleep_for(delay);
  const auto found = tables.tables[table].find(lost.key);
  const std::uint64_t present = found == tables.tables[table].end() ? 0 : found->second.version;
  // A further restoration writes again what it has lost itself.
  if (present != version && tables.era == era)
    co_return;
  if (lost.deleted)
    tables.remove(table, lost.key);
  else
    tables.put(table, lost.key, lost.value);
}

void edge_cluster::restore_store(store_copy copy, std::chrono::milliseconds rewrite_delay) {
  const table_contents lost = tables.copy();
  const table_contents restored = copy.tables;
  own_rows.restore(std::move(copy.own_rows));
  tables.restore(std::move(copy.tables));
  for (const char* table : {config_table, target_table}) {
    const auto before = lost.tables.find(table);
    if (before == lost.tables.end())
      continue;
    for (const auto& [key, row] : before->second) {
      if (row.version > restored.version)
        support::spawn(context.get_executor(), "write_again",
                       write_again(table, row, rewrite_delay));
    }
  }
}

void edge_cluster::cut_store(std::size_t index, bool cut, store_cut kind) {
  edges[index]->store->kind = kind;
  edges[index]->feed->kind = kind;
  edges[index]->store->cut = cut;
  edges[index]->feed->cut = cut;
}

void edge_cluster::kill(std::size_t index) {
  network.nodes.erase(edges[index]->peer_address);
  network.cut.insert(edges[index]->peer_address);
  cut_store(index, true);
  retired.push_back(std::move(edges[index]));
}

void edge_cluster::start(std::size_t index, const std::string& address) {
  auto edge = std::make_unique<running_edge>();
  edge->id = "edge-" + std::to_string(index);
  edge->peer_address = address.empty() ? "peer-" + std::to_string(index) : address;
  if (gives_own_clocks)
    edge->clock = std::make_unique<failing_clock>(clock);
  support::clock& node_clock = edge->clock ? *edge->clock : static_cast<support::clock&>(clock);
  edge->store = std::make_unique<fake_store>(clock, own_rows);
  edge->feed = std::make_unique<fake_change_feed>(clock, tables);
  edge->client = std::make_unique<node_client>(clock, network, target_client, edge->peer_address);
  edge->prober = std::make_unique<node_prober>(orders, edge->peer_address);
  edge::edge_settings settings;
  settings.id = edge->id;
  settings.data_centre = data_centres[index % data_centres.size()];
  settings.regions = regions;
  settings.public_address = "public-" + edge->peer_address;
  settings.peer_address = edge->peer_address;
  settings.seeds = {"peer-0"};
  settings.is_first_start = retired.empty();
  settings.evacuation_time_limit = evacuation_time_limit;
  settings.cold = cold_limit;
  edge->node = std::make_unique<edge::edge_node>(
      edge::edge_context{context.get_executor(),
                         node_clock,
                         random,
                         *edge->client,
                         *edge->store,
                         *edge->feed,
                         decoder,
                         protocol,
                         orders,
                         *edge->prober,
                         {config_table, config_key, target_table, own_table, evacuation_prefix}},
      settings);
  network.cut.erase(edge->peer_address);
  network.nodes[edge->peer_address] = [node = edge->node.get()](net::server_request request,
                                                                net::response_writer& writer) {
    return node->handle_peer(std::move(request), writer);
  };
  edge->node->start();
  edges[index] = std::move(edge);
}

std::unique_ptr<recording_writer> edge_cluster::call(std::size_t index, const std::string& path,
                                                     const std::string& model) {
  auto writer = std::make_unique<recording_writer>();
  net::server_request request;
  request.method = "GET";
  request.path = path;
  request.headers.add("Host", "example");
  request.headers.add("Id", "r1");
  if (!model.empty())
    request.headers.add("Model", model);
  support::spawn(context.get_executor(), "call",
                 edges[index]->node->handle_caller(std::move(request), *writer));
  clock.run_for(100ms);
  return writer;
}

nlohmann::ordered_json edge_cluster::state(std::size_t index) {
  recording_writer writer;
  net::server_request request;
  request.path = edge::state_path;
  support::spawn(context.get_executor(), "state",
                 edges[index]->node->handle_peer(std::move(request), writer));
  clock.run_for(0ms);
  return nlohmann::ordered_json::parse(writer.body);
}

} // namespace camphorlug::fakes
