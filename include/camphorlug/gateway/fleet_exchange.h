#pragma once

#include "camphorlug/gateway/fleet_message.h"
#include "camphorlug/gateway/fleet_view.h"
#include "camphorlug/net/http_client.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"

#include <asio/any_io_executor.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Path that receives the messages of other nodes.
inline constexpr const char* fleet_path = "/camphorlug/v2/fleet";
/// Path that serves the text of the active configuration.
inline constexpr const char* config_path = "/camphorlug/v1/config";
/// Path that serves the target entries that changed after commit number `since`.
inline constexpr const char* entries_path = "/camphorlug/v1/entries";
inline constexpr const char* crashes_path = "/camphorlug/v1/crashes";
/// Path of questions whether a suspected request may be sent.
inline constexpr const char* trials_path = "/camphorlug/v1/trials";

/// Exchanges messages with other nodes and keeps a `fleet_view` up to date: with one hub if this
/// node is attached to it, with all hubs if it is one itself. Does not depend on the store.
class fleet_exchange {
public:
  /// Interval between two messages of an attached node to its hub.
  static constexpr std::chrono::milliseconds attach_interval{200};
  /// Interval between two messages that a hub starts to another one, while all nodes are hubs.
  static constexpr std::chrono::milliseconds mesh_interval{250};
  /// The same interval in a larger fleet, where most of these messages cross data centres.
  static constexpr std::chrono::milliseconds hub_interval{400};

  /// What this node reports about itself.
  struct own_report {
    node_status status;
    fleet_summary summary;
    std::uint64_t config_version = 0;
    std::uint64_t entries_version = 0;
    std::optional<std::chrono::milliseconds> config_staleness;
    std::optional<std::chrono::milliseconds> entries_staleness;
    std::uint64_t store_era = 0;
    std::uint64_t crash_digest = 0;
    std::optional<reported_evacuations> evacuations;
    std::optional<fleet_size> nodes;
    cold_notices cold;
  };

  fleet_exchange(asio::any_io_executor executor, support::clock& time,
                 support::random_source& random, net::http_client& client, fleet_view& view,
                 std::function<own_report()> make_report);

  /// Adds the peer address of a node that may be alive, as found in the settings or in the store.
  void add_address(const std::string& address) { addresses_.insert(address); }

  /// Runs the periodic exchanges until the clock is shut down.
  support::task<> run();

  /// Applies the message in `body` and returns the response. Throws nlohmann::json::exception if
  /// `body` is not a message.
  std::string answer(const std::string& body);

  /// Sends this node's report immediately, for example when it starts to leave.
  void announce();

  /// Receives each message of another node. `asked_at` is when this node sent the request that the
  /// message answers; nothing if the message is a request itself, which may have been on its way
  /// for any time.
  using message_listener = std::function<void(const fleet_message& message,
                                              std::optional<support::clock::time_point> asked_at)>;
  void on_message(message_listener listener) { on_message_ = std::move(listener); }

private:
  /// State of the exchanges with one address.
  struct contact {
    bool in_progress = false;
    int failures = 0;
    support::clock::time_point next_at;
    /// What the hub at this address holds of this node's section.
    section_stamp held;
  };

  /// Passes the current report to the view and returns it.
  own_report update_self();
  fleet_message make_message();
  /// Returns the response, or nullopt if there is none.
  support::task<std::optional<fleet_message>> send(std::string address, fleet_message message);
  /// The addresses that may lead to nodes that this node does not know.
  std::vector<std::string> unknown_addresses();
  std::string next_hub_address();
  void start_attach_exchange();
  void start_hub_exchanges();
  support::task<> attach(std::string address);
  support::task<> exchange_with_hub(std::string address, std::string id);
  support::task<> discover(std::string address);
  void record_result(const std::string& address, bool succeeded, std::chrono::nanoseconds interval);
  void drop_old_contacts();

  asio::any_io_executor executor_;
  support::clock& time_;
  support::random_source& random_;
  net::http_client& client_;
  fleet_view& view_;
  std::function<own_report()> make_report_;
  message_listener on_message_;
  std::uint64_t sequence_ = 0;
  std::set<std::string> addresses_;
  std::map<std::string, contact> contacts_;
  support::clock::time_point clean_up_at_;
  bool attaching_ = false;
  support::clock::time_point next_attach_at_;
  std::string hub_address_;
};

} // namespace camphorlug::gateway
