#include "fakes/simulated_cluster.h"

#include "camphorlug/support/digest.h"

#include <nlohmann/json.hpp>

namespace camphorlug::fakes {

static std::string organisations() {
  return "\n[[organisation]]\nname = \"one\"\nkey_sha256 = [\"" +
         support::sha256_hex(organisation_key) +
         "\"]\n\n[[organisation]]\nname = \"two\"\nkey_sha256 = [\"" +
         support::sha256_hex(other_key) + "\"]\n";
}

std::string model_document(const std::string& more, const std::string& version,
                           std::size_t replicas) {
  return "service = \"model\"\npool = \"runners\"\nnot_run_statuses = [409, 503]\n" + more +
         "\n[model]\nname = \"m\"\nversion = \"" + version +
         "\"\nreplicas = " + std::to_string(replicas) +
         "\nspan = 4\nconcurrent_loads = 100\n\n[limits]\nfirst_byte_ms = 2000\nstall_ms = 500\n" +
         organisations();
}

std::string plain_document() {
  return "service = \"plain\"\npool = \"counter\"\nnot_run_statuses = [503]\n"
         "non_idempotent_paths = [\"/orders\"]\n\n[limits]\nfirst_byte_ms = 1000\n" +
         organisations();
}

simulated_cluster::simulated_cluster(std::uint64_t seed)
    : clock(context), random(seed), fleet(clock) {}

simulated_cluster::~simulated_cluster() {
  clock.shut_down();
}

simulated_node simulated_cluster::make_node(std::size_t index) {
  node::node_settings settings;
  settings.id = "n" + std::to_string(index);
  settings.data_centre = "dc" + std::to_string(index % 3);
  settings.address = settings.id + ":1";
  settings.operator_address = settings.id + ":2";
  settings.platform_address = "platform:1";
  settings.seeds = {"n0:2", "n1:2", "n2:2"};
  settings.peer_key = "a key that signs exchanges";
  settings.stream_key = stream_key;
  simulated_node added;
  added.store = std::make_unique<fake_store>(clock, table);
  added.list = std::make_unique<fake_instance_list>(fleet);
  added.targets = std::make_unique<fake_target_client>(fleet);
  added.peers =
      std::make_unique<fake_peer_client>(clock, random, network, settings.operator_address);
  added.node = node::node_builder(context.get_executor())
                   .settings(settings)
                   .clock(clock)
                   .random(random)
                   .store(*added.store)
                   .instances(*added.list)
                   .targets(*added.targets)
                   .peers(*added.peers)
                   .build();
  node::node* subject = added.node.get();
  network.nodes[settings.operator_address] = [subject](const peers::peer_message& message) {
    return subject->answer_peer(message);
  };
  subject->start();
  return added;
}

void simulated_cluster::add_nodes(std::size_t count) {
  const std::size_t first = nodes.size();
  for (std::size_t index = first; index < first + count; ++index)
    nodes.push_back(make_node(index));
}

void simulated_cluster::replace_node(std::size_t index) {
  kill_node(index);
  nodes[index].peers->dead = true;
  retired.push_back(std::move(nodes[index]));
  const std::string address = retired.back().node->settings().operator_address;
  std::erase_if(network.cuts, [&address](const auto& cut) {
    return cut.first == address || cut.second == address;
  });
  nodes[index] = make_node(index);
}

void simulated_cluster::add_runners(std::size_t domains, std::size_t per_domain) {
  for (std::size_t i = 0; i < domains * per_domain; ++i) {
    const std::size_t domain = i / per_domain;
    table::listed_instance instance;
    instance.id = "r" + std::to_string(i);
    instance.address = instance.id + ":1";
    instance.data_centre = "dc" + std::to_string(domain % 3);
    instance.fabric_domain = "f" + std::to_string(domain);
    instance.pool = "runners";
    fleet.add(instance);
  }
}

void simulated_cluster::add_plain(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    table::listed_instance instance;
    instance.id = "p" + std::to_string(i);
    instance.address = instance.id + ":1";
    instance.data_centre = "dc" + std::to_string(i % 3);
    instance.pool = "counter";
    instance.role = table::instance_role::plain;
    fleet.add(instance);
  }
}

static support::task<> store_edit_result(documents::document_editor& editor,
                                         documents::edit_request request,
                                         std::optional<documents::edit_result>& result) {
  result = co_await editor.edit(std::move(request));
}

documents::edit_result simulated_cluster::apply(const std::string& text, std::size_t through) {
  const std::string line = text.substr(0, text.find('\n'));
  const std::string service = line.substr(line.find('"') + 1, line.rfind('"') - line.find('"') - 1);
  node::node& subject = *nodes[through].node;
  const auto present = subject.documents().find(service);
  documents::edit_request request{service, text, present ? present->version.number : 0,
                                  random.identifier(), "tester"};
  std::optional<documents::edit_result> result;
  support::spawn(context.get_executor(), "edit",
                 store_edit_result(subject.editor(), std::move(request), result));
  run_until([&result] { return result.has_value(); }, std::chrono::seconds(30));
  return *result;
}

bool simulated_cluster::run_until(const std::function<bool()>& done,
                                  std::chrono::nanoseconds limit) {
  static constexpr std::chrono::milliseconds step{20};
  const auto end = clock.now() + limit;
  while (!done()) {
    if (clock.now() >= end)
      return false;
    clock.run_for(step);
  }
  return true;
}

void simulated_cluster::begin_call(std::size_t node, net::server_request request,
                                   recording_writer& writer) {
  support::spawn(context.get_executor(), "call",
                 nodes[node].node->handle_caller(std::move(request), writer));
}

std::unique_ptr<recording_writer> simulated_cluster::call(std::size_t node,
                                                          net::server_request request) {
  auto writer = std::make_unique<recording_writer>();
  begin_call(node, std::move(request), *writer);
  run_until([&writer] { return writer->finished; }, std::chrono::minutes(2));
  return writer;
}

void simulated_cluster::kill_node(std::size_t index) {
  network.nodes.erase(nodes[index].node->settings().operator_address);
  for (auto& other : nodes)
    network.cuts.insert(
        {nodes[index].node->settings().operator_address, other.node->settings().operator_address});
  nodes[index].store->cut = true;
  for (auto& [id, engine] : fleet.engines())
    nodes[index].targets->unreachable.insert(engine.address);
}

std::size_t simulated_cluster::routable(std::size_t node, const std::string& service) {
  return nodes[node].node->live_groups().targets(service)->size();
}

model_cluster::model_cluster() {
  add_runners(2, 4);
  add_nodes(2);
  run_for(std::chrono::seconds(1));
  apply(model_document());
  const auto both_nodes_see_both_groups = [this] { return routable(0) == 2 && routable(1) == 2; };
  if (!run_until(both_nodes_see_both_groups, std::chrono::seconds(30)))
    throw std::runtime_error("the groups of the simulated cluster did not form within 30 s");
}

static net::server_request make_request(const std::string& method, const std::string& path,
                                        std::string body, const std::string& key) {
  net::server_request request;
  request.method = method;
  request.path = path;
  request.headers.add("Authorization", "Bearer " + key);
  request.body = std::move(body);
  return request;
}

static nlohmann::json messages(const std::string& prompt) {
  return nlohmann::json::array({{{"role", "user"}, {"content", prompt}}});
}

net::server_request chat_request(const std::string& prompt, std::size_t tokens, bool stream,
                                 const std::string& key) {
  const nlohmann::json body{
      {"messages", messages(prompt)}, {"max_tokens", tokens}, {"stream", stream}};
  return make_request("POST", "/services/model/v1/chat/completions", body.dump(), key);
}

net::server_request plain_request(const std::string& path, const std::string& body,
                                  const std::string& key) {
  return make_request("POST", "/services/plain" + path, body, key);
}

std::string expected_text(const std::string& prompt, std::size_t tokens) {
  return complete_text(messages(prompt).dump(), tokens);
}

} // namespace camphorlug::fakes
