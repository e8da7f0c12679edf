#pragma once

#include "camphorlug/gateway/fleet_message.h"
#include "camphorlug/gateway/fleet_roles.h"
#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/gateway/suspicion_list.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// What a node believes about all nodes: who is alive, their duties and the sum of their
/// reports. Performs no I/O.
///
/// Each live node belongs to the section of a hub: that of the hub itself and the nodes attached
/// to it. Hubs exchange their sections with all other hubs; an attached node takes over the
/// sections that its hub knows. So the cost for each node does not grow with the number of nodes.
class fleet_view {
public:
  /// An attached node is dropped from its hub's section after this time without a message.
  static constexpr std::chrono::milliseconds attached_timeout{1200};
  /// A section is dropped after this time without news from its hub.
  static constexpr std::chrono::milliseconds section_timeout{1500};

  /// A live node as listed by `members`.
  struct member {
    node_status status;
    /// When this node last heard of the hub to which the member belongs.
    support::clock::time_point heard_at;
    /// The configuration of the member's hub; 0 if it is not known.
    std::uint64_t config_version = 0;
  };

  fleet_view(support::clock& time, load_tracker& loads, suspicion_list& suspicions)
      : time_(time), loads_(loads), suspicions_(suspicions) {}

  /// Sets the status and the summary of this node itself. Must be called before all other
  /// functions.
  void update_self(node_status status, fleet_summary summary);
  const node_status& self() const { return self_; }

  /// Returns whether this node acts as a hub: because of its rank or because nodes attached
  /// themselves to it. A node that knows no other one attaches itself to find others.
  bool is_hub();

  /// Applies the request of a node that attaches itself to this one. Requests that arrive out
  /// of order are ignored.
  void apply_attached(const fleet_message& request);
  /// Fills in the fields of the response that depend on the request.
  void complete_reply(const fleet_message& request, fleet_message& reply) const;

  /// Applies a message of another hub. Messages that arrive out of order are ignored.
  void apply_hub(const fleet_message& message);
  /// Fills in the fields of a message to the hub `receiver`, which holds the state `held` of this
  /// node's section.
  void complete_hub_message(const std::string& receiver, section_stamp held,
                            fleet_message& message) const;
  /// Fills in the fields of the response to another hub, also with the sections that it lacks.
  void complete_hub_reply(const fleet_message& request, fleet_message& reply) const;

  /// Applies the response of the hub to which this node attached itself.
  void apply_reply(const fleet_message& reply);
  /// Adds the sections in a message that this node, a hub itself, does not know yet.
  void apply_discovery(const fleet_message& message);
  /// Fills in the fields of a request by which this node attaches itself to a hub.
  void complete_attach_request(fleet_message& request) const;

  /// Drops what has not been heard of for too long. Call it several times a second.
  void expire();

  /// All other live nodes, by id.
  const std::map<std::string, member>& others();
  const fleet_roles& roles();
  /// Sum of the reports of all other nodes, without their loads, which are in the load tracker.
  fleet_summary others_summary() const;
  /// Whether a report not older than `max_age` says that another node plans the groups.
  bool leader_heard_within(std::chrono::nanoseconds max_age) const;

private:
  struct attached_node {
    node_status status;
    std::uint64_t sequence = 0;
    fleet_summary summary;
    support::clock::time_point heard_at;
  };
  struct known_section {
    section_stamp stamp;
    std::vector<node_status> members;
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;
    fleet_summary summary;
    support::clock::time_point heard_at;
  };

  void refresh_if_changed();
  void change_own_section();
  void apply_suspicions();
  section_stamp own_stamp() const { return {self_.incarnation, own_version_}; }
  section_stamp held_stamp(const std::string& owner) const;
  std::chrono::milliseconds age_of(const known_section& known) const;
  std::map<std::string, std::chrono::milliseconds> owner_ages() const;
  fleet_section own_section() const;
  fleet_section to_section(const std::string& owner, const known_section& known) const;
  fleet_summary own_section_summary() const;
  /// Adds what attached nodes, except `left_out`, and other sections reported, without loads.
  void add_known_summaries(fleet_summary& sum, const std::string& left_out) const;
  void store_section(const fleet_section& section);
  void follow_hub(bool follows);
  void offer_member(const node_status& status, support::clock::time_point heard_at,
                    std::uint64_t config_version);

  support::clock& time_;
  load_tracker& loads_;
  suspicion_list& suspicions_;
  node_status self_;
  fleet_summary own_summary_;
  std::uint64_t own_version_ = 0;
  std::map<std::string, attached_node> attached_;
  std::map<std::string, known_section> sections_;
  /// Sum over all other nodes as received from the hub; used while this node follows a hub.
  fleet_summary hub_summary_;
  support::clock::time_point hub_heard_at_;
  /// Whether the last state came from a hub to which this node is attached.
  bool follows_hub_ = false;
  /// Derived from the sections and attached nodes; outdated while `changed_` is set.
  std::map<std::string, member> others_;
  fleet_roles roles_;
  bool changed_ = true;
};

} // namespace camphorlug::gateway
