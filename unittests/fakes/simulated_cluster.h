#pragma once

#include "camphorlug/node/node_builder.h"
#include "camphorlug/support/virtual_clock.h"

#include "fakes/fake_fleet.h"
#include "fakes/fake_network.h"
#include "fakes/fake_store.h"
#include "fakes/recording_writer.h"

#include <memory>
#include <string>
#include <vector>

namespace camphorlug::fakes {

inline constexpr const char* organisation_key = "key-one";
inline constexpr const char* other_key = "key-two";
inline constexpr const char* stream_key = "a key that signs streams";

/// A document of a model service that the two test organisations may call.
std::string model_document(const std::string& more = "", const std::string& version = "v1",
                           std::size_t replicas = 2);
/// A document of a plain service whose path `/orders` is not idempotent.
std::string plain_document();

/// One node with its own connections to the store, the platform, the targets and its peers.
struct simulated_node {
  std::unique_ptr<fake_store> store;
  std::unique_ptr<fake_instance_list> list;
  std::unique_ptr<fake_target_client> targets;
  std::unique_ptr<fake_peer_client> peers;
  std::unique_ptr<node::node> node;
};

/// Simulates nodes, targets and the platform in one process and in virtual time.
class simulated_cluster {
public:
  explicit simulated_cluster(std::uint64_t seed = 1);
  ~simulated_cluster();

  /// Adds `count` nodes, spread over three data centres, and starts them.
  void add_nodes(std::size_t count);
  /// Kills a node and starts another process with the same settings in its place.
  void replace_node(std::size_t index);
  /// Adds runners `r0`, `r1`, ... with `per_domain` in each fabric domain.
  void add_runners(std::size_t domains, std::size_t per_domain);
  void add_plain(std::size_t count);

  /// Writes a document as its first or next version through the node `through`.
  documents::edit_result apply(const std::string& text, std::size_t through = 0);

  /// Runs until `done` holds or `limit` has passed; returns whether `done` holds.
  bool run_until(const std::function<bool()>& done, std::chrono::nanoseconds limit);
  void run_for(std::chrono::nanoseconds span) { clock.run_for(span); }

  /// Sends a request to a node and returns its response, at the latest after 2 minutes.
  std::unique_ptr<recording_writer> call(std::size_t node, net::server_request request);
  /// Starts a request whose response is written to `writer`.
  void begin_call(std::size_t node, net::server_request request, recording_writer& writer);

  /// Simulates that a node's process is killed.
  void kill_node(std::size_t index);

  simulated_node make_node(std::size_t index);

  /// Returns the number of targets of `service` that the node can route to.
  std::size_t routable(std::size_t node = 0, const std::string& service = "model");

  asio::io_context context;
  support::virtual_clock clock;
  support::random_source random;
  shared_table table;
  fake_fleet fleet;
  fake_network network;
  std::vector<simulated_node> nodes;
  /// Replaced nodes, which are kept because their pending tasks end only with the clock.
  std::vector<simulated_node> retired;
};

/// Two nodes and two complete groups of four instances.
struct model_cluster : simulated_cluster {
  model_cluster();
};

/// Creates a chat request for `tokens` tokens.
net::server_request chat_request(const std::string& prompt, std::size_t tokens, bool stream = true,
                                 const std::string& key = organisation_key);
net::server_request plain_request(const std::string& path, const std::string& body = "",
                                  const std::string& key = organisation_key);

/// Returns the text that a fake engine generates for `chat_request(prompt, tokens)`.
std::string expected_text(const std::string& prompt, std::size_t tokens);

} // namespace camphorlug::fakes
