#include "camphorlug/gateway/fleet_view.h"

#include <algorithm>
#include <tuple>

namespace camphorlug::gateway {

/// Name in the load tracker of the sum that a hub reports. No node has an empty id.
static const std::string hub_loads_name;
/// In a larger fleet a single node that suspects a target may be the cause itself. A target that
/// fails serves many nodes there, so others notice it at almost the same time.
static constexpr std::size_t confirming_nodes_in_large_fleet = 2;

void fleet_view::update_self(node_status status, fleet_summary summary) {
  own_summary_ = std::move(summary);
  if (status == self_)
    return;
  self_ = std::move(status);
  change_own_section();
}

void fleet_view::change_own_section() {
  ++own_version_;
  changed_ = true;
}

bool fleet_view::is_hub() {
  return !attached_.empty() || (!others().empty() && roles().is_hub(self_.id));
}

void fleet_view::offer_member(const node_status& status, support::clock::time_point heard_at,
                              std::uint64_t config_version) {
  if (status.id == self_.id)
    return;
  const auto [known, inserted] =
      others_.try_emplace(status.id, member{status, heard_at, config_version});
  // A node that moved to another hub is in two sections until the first one drops it.
  if (!inserted && status.is_newer_than(known->second.status))
    known->second = {status, heard_at, config_version};
}

void fleet_view::refresh_if_changed() {
  if (!std::exchange(changed_, false))
    return;
  others_.clear();
  for (const auto& [id, each] : attached_)
    offer_member(each.status, each.heard_at, 0);
  for (const auto& [owner, each] : sections_) {
    for (const node_status& status : each.members)
      offer_member(status, each.heard_at, each.config_version);
  }
  std::vector<const node_status*> all{&self_};
  for (const auto& [id, each] : others_)
    all.push_back(&each.status);
  roles_ = assign_roles(all);
}

const std::map<std::string, fleet_view::member>& fleet_view::others() {
  refresh_if_changed();
  return others_;
}

const fleet_roles& fleet_view::roles() {
  refresh_if_changed();
  return roles_;
}

void fleet_view::apply_suspicions() {
  const std::size_t required =
      fleet_roles::is_full_mesh(others_.size() + 1) ? 1 : confirming_nodes_in_large_fleet;
  for (const auto& [target, nodes] : others_summary().suspects) {
    if (nodes >= required)
      suspicions_.add_peer_suspicion(target);
  }
}

/// Loads are counted either as the hub's sum or for each section and attached node.
void fleet_view::follow_hub(bool follows) {
  if (std::exchange(follows_hub_, follows) != follows)
    loads_.clear_peers();
}

void fleet_view::apply_attached(const fleet_message& request) {
  const node_status& sender = request.sender;
  if (sender.id == self_.id)
    return;
  const auto known = attached_.find(sender.id);
  const bool is_new = known == attached_.end();
  // Requests can arrive out of order, since they may use different connections.
  if (!is_new && std::tie(sender.incarnation, request.sequence) <=
                     std::tie(known->second.status.incarnation, known->second.sequence))
    return;
  follow_hub(false);
  const bool changed = is_new || known->second.status != sender;
  attached_[sender.id] = {sender, request.sequence, request.summary, time_.now()};
  loads_.update_peer(sender.id, request.summary.loads);
  if (!request.summary.suspects.empty())
    apply_suspicions();
  if (changed)
    change_own_section();
  else if (const auto listed = others_.find(sender.id); listed != others_.end())
    listed->second.heard_at = time_.now();
}

fleet_section fleet_view::own_section() const {
  fleet_section section{self_.id, own_stamp(), {self_}};
  for (const auto& [id, each] : attached_)
    section.members.push_back(each.status);
  return section;
}

fleet_section fleet_view::to_section(const std::string& owner, const known_section& known) const {
  return {owner, known.stamp, known.members, age_of(known)};
}

std::chrono::milliseconds fleet_view::age_of(const known_section& known) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time_.now() - known.heard_at);
}

fleet_summary fleet_view::own_section_summary() const {
  fleet_summary sum = own_summary_;
  for (const auto& [id, each] : attached_)
    sum.add(each.summary, time_.now() - each.heard_at);
  return sum;
}

static bool lacks(const fleet_message& request, const std::string& owner, section_stamp stamp) {
  const auto held = request.known.find(owner);
  return held == request.known.end() || held->second != stamp;
}

void fleet_view::complete_reply(const fleet_message& request, fleet_message& reply) const {
  reply.owners = owner_ages();
  if (lacks(request, self_.id, own_stamp()))
    reply.sections.push_back(own_section());
  for (const auto& [owner, each] : sections_) {
    if (lacks(request, owner, each.stamp))
      reply.sections.push_back(to_section(owner, each));
  }
  reply.summary = own_summary_;
  add_known_summaries(reply.summary, request.sender.id);
  reply.summary.loads = loads_.sums_without(request.sender.id);
}

void fleet_view::apply_hub(const fleet_message& message) {
  const node_status& sender = message.sender;
  if (sender.id == self_.id)
    return;
  const auto [found, is_new] = sections_.try_emplace(sender.id);
  known_section& known = found->second;
  if (!is_new && std::tie(sender.incarnation, message.sequence) <=
                     std::tie(known.stamp.incarnation, known.sequence))
    return;
  follow_hub(false);
  if (is_new) {
    // The full list of members may follow with a later message; the hub itself is alive.
    known.stamp = {sender.incarnation, 0};
    known.members = {sender};
    changed_ = true;
  }
  known.sequence = message.sequence;
  known.config_version = message.config_version;
  known.summary = message.summary;
  known.heard_at = time_.now();
  loads_.update_peer(sender.id, message.summary.loads);
  for (const fleet_section& each : message.sections) {
    if (each.owner == sender.id && known.stamp != each.stamp) {
      known.stamp = each.stamp;
      known.members = each.members;
      changed_ = true;
    }
  }
  apply_discovery(message);
  // The sender is now listed in its own section.
  if (attached_.erase(sender.id) > 0)
    change_own_section();
  if (const auto listed = others_.find(sender.id); listed != others_.end())
    listed->second.heard_at = time_.now();
  apply_suspicions();
}

void fleet_view::complete_hub_message(const std::string& receiver, section_stamp held,
                                      fleet_message& message) const {
  message.summary = own_section_summary();
  if (held != own_stamp())
    message.sections.push_back(own_section());
  message.known[receiver] = held_stamp(receiver);
  message.owners = owner_ages();
}

std::map<std::string, std::chrono::milliseconds> fleet_view::owner_ages() const {
  std::map<std::string, std::chrono::milliseconds> ages{{self_.id, std::chrono::milliseconds(0)}};
  for (const auto& [owner, each] : sections_)
    ages[owner] = age_of(each);
  return ages;
}

void fleet_view::complete_hub_reply(const fleet_message& request, fleet_message& reply) const {
  const auto held = request.known.find(self_.id);
  complete_hub_message(request.sender.id,
                       held == request.known.end() ? section_stamp{} : held->second, reply);
  // Two hubs may not know each other, although both know this node.
  for (const auto& [owner, each] : sections_) {
    if (!request.owners.contains(owner) && owner != request.sender.id)
      reply.sections.push_back(to_section(owner, each));
  }
}

section_stamp fleet_view::held_stamp(const std::string& owner) const {
  const auto found = sections_.find(owner);
  return found == sections_.end() ? section_stamp{} : found->second.stamp;
}

void fleet_view::store_section(const fleet_section& section) {
  known_section& known = sections_[section.owner];
  known.stamp = section.stamp;
  known.members = section.members;
  known.heard_at = time_.now() - section.age;
  changed_ = true;
}

void fleet_view::apply_reply(const fleet_message& reply) {
  follow_hub(true);
  hub_summary_ = reply.summary;
  hub_summary_.loads.clear();
  hub_heard_at_ = time_.now();
  loads_.update_peer(hub_loads_name, reply.summary.loads);
  for (const fleet_section& each : reply.sections) {
    if (each.owner != self_.id)
      store_section(each);
  }
  for (auto each = sections_.begin(); each != sections_.end();) {
    const auto listed = reply.owners.find(each->first);
    if (listed == reply.owners.end()) {
      each = sections_.erase(each);
      changed_ = true;
      continue;
    }
    each->second.heard_at = time_.now() - listed->second;
    each->second.summary = {};
    ++each;
  }
  if (const auto hub = sections_.find(reply.sender.id); hub != sections_.end())
    hub->second.config_version = reply.config_version;
  apply_suspicions();
}

void fleet_view::apply_discovery(const fleet_message& message) {
  for (const fleet_section& each : message.sections) {
    if (each.owner != self_.id && each.age < section_timeout && !sections_.contains(each.owner))
      store_section(each);
  }
}

void fleet_view::complete_attach_request(fleet_message& request) const {
  request.attaches = true;
  request.summary = own_summary_;
  for (const auto& [owner, each] : sections_)
    request.known[owner] = each.stamp;
}

void fleet_view::expire() {
  const auto now = time_.now();
  const std::size_t detached = std::erase_if(
      attached_, [&](const auto& each) { return now - each.second.heard_at >= attached_timeout; });
  if (detached > 0)
    change_own_section();
  const std::size_t lost = std::erase_if(
      sections_, [&](const auto& each) { return now - each.second.heard_at >= section_timeout; });
  changed_ = changed_ || lost > 0;
}

fleet_summary fleet_view::others_summary() const {
  fleet_summary sum;
  if (follows_hub_) {
    if (!sections_.empty())
      sum.add_without_loads(hub_summary_, time_.now() - hub_heard_at_);
    return sum;
  }
  add_known_summaries(sum, "");
  return sum;
}

void fleet_view::add_known_summaries(fleet_summary& sum, const std::string& left_out) const {
  for (const auto& [id, each] : attached_) {
    if (id != left_out)
      sum.add_without_loads(each.summary, time_.now() - each.heard_at);
  }
  for (const auto& [owner, each] : sections_)
    sum.add_without_loads(each.summary, time_.now() - each.heard_at);
}

bool fleet_view::leader_heard_within(std::chrono::nanoseconds max_age) const {
  const auto now = time_.now();
  if (follows_hub_)
    return !hub_summary_.leader.empty() && now - hub_heard_at_ < max_age;
  const auto leads = [&](const auto& each) {
    return !each.second.summary.leader.empty() && now - each.second.heard_at < max_age;
  };
  return std::any_of(attached_.begin(), attached_.end(), leads) ||
         std::any_of(sections_.begin(), sections_.end(), leads);
}

} // namespace camphorlug::gateway
