#include "camphorlug/gateway/crash_evidence.h"

#include "camphorlug/gateway/request_identity.h"
#include "camphorlug/support/json_text.h"
#include "camphorlug/support/log.h"
#include "camphorlug/support/unknown_fields.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace camphorlug::gateway {

using std::chrono::microseconds;
using record_entry = std::pair<const target_start, crash_record>;

static constexpr std::size_t record_elements = 5;
/// Earlier builds write and read the first three, and pass the others on.
static constexpr std::size_t min_suspect_elements = 3;
static constexpr std::size_t suspect_elements = 4;

static bool merge_suspect(crash_suspect& held, const crash_suspect& other) {
  const crash_suspect before = held;
  held.position = std::max(held.position, other.position);
  held.waited = std::min(held.waited, other.waited);
  held.cleared = held.cleared || other.cleared;
  held.answered_before = held.answered_before || other.answered_before;
  held.unknown_elements = std::max(held.unknown_elements, other.unknown_elements);
  return held != before;
}

bool crash_evidence::merge_without_update(const target_start& start, const crash_record& record) {
  const auto [held, is_new] =
      records_.try_emplace(start, crash_record{record.service, record.crashed_at, {}});
  // Evidence that took long on its way here makes a crash seem younger than it is.
  bool changed = is_new || record.crashed_at < held->second.crashed_at;
  held->second.crashed_at = std::min(held->second.crashed_at, record.crashed_at);
  if (held->second.unknown_elements < record.unknown_elements) {
    held->second.unknown_elements = record.unknown_elements;
    changed = true;
  }
  for (const auto& [id, suspect] : record.suspects) {
    const auto known = held->second.suspects.find(id);
    if (known != held->second.suspects.end()) {
      changed = merge_suspect(known->second, suspect) || changed;
    } else if (held->second.suspects.size() < max_suspects_per_record) {
      held->second.suspects.emplace(id, suspect);
      changed = true;
    }
  }
  return changed;
}

bool crash_evidence::merge(const target_start& start, const crash_record& record) {
  const bool changed = merge_without_update(start, record);
  if (changed)
    update();
  return changed;
}

void crash_evidence::apply_answers(
    const std::map<crash_cause, support::clock::time_point>& answers) {
  bool changed = false;
  for (const auto& [cause, answered_at] : answers)
    changed = apply_answer(cause, answered_at) || changed;
  if (changed)
    update();
}

bool crash_evidence::apply_answer(const crash_cause& cause,
                                  support::clock::time_point answered_at) {
  bool changed = false;
  for (auto& [start, record] : records_) {
    if (record.cause(cause.id) != cause)
      continue;
    const auto suspect = record.suspects.find(cause.id);
    if (suspect == record.suspects.end())
      continue;
    changed = !std::exchange(suspect->second.answered_before, true) || changed;
    if (record.crashed_at < answered_at)
      changed = !std::exchange(suspect->second.cleared, true) || changed;
  }
  return changed;
}

std::size_t crash_evidence::suspect_count() const {
  std::size_t count = 0;
  for (const auto& [start, record] : records_)
    count += record.suspects.size();
  return count;
}

namespace {

using record_list = std::vector<const crash_record*>;

/// A part goes before a whole request only if it explains this many crashes more: one further
/// target may have failed by itself.
constexpr std::size_t min_more_crashes = 2;

/// What the crashes seen so far say against one suspect.
struct accusation {
  /// Crashes in a row.
  std::size_t crashes = 0;
  /// All crashes, with those that no request was sent between.
  std::size_t records = 0;
  std::size_t position = 0;
  /// Whether a target has answered such a request at some time.
  bool answered_before = false;
  support::clock::time_point last_crash_at = support::clock::time_point::min();

  void add(const crash_record& record, const crash_suspect& suspect) {
    position = std::max(position, suspect.position);
    answered_before = answered_before || suspect.answered_before;
    ++records;
    if (record.crashed_at - suspect.waited <= last_crash_at)
      return;
    ++crashes;
    last_crash_at = record.crashed_at;
  }

  /// Of suspects that explain the same crashes, one that was never answered is the cause more
  /// probably, then the one that fewer requests share. A ban of either does less harm.
  bool is_stronger_than(const accusation& other) const {
    return std::tuple(crashes, !answered_before, position) >
           std::tuple(other.crashes, !other.answered_before, other.position);
  }
};

using accusation_map = std::map<crash_cause, accusation>;

} // namespace

/// Returns the crashes in a row that the part explains and the request does not.
static std::size_t crashes_without(const record_list& by_time, const crash_cause& part,
                                   const crash_cause& request) {
  accusation rest;
  for (const crash_record* record : by_time) {
    if (record->accuses(part) && !record->accuses(request))
      rest.add(*record, record->suspects.at(part.id));
  }
  return rest.crashes;
}

/// Whether the part rather than the request is the cause of what both may explain. A request may
/// reach several targets in turn that others crash, so that it shares some of the crashes of a
/// deadly part. Those in between seldom are in a row, since targets crash at several nodes at once.
static bool goes_before(const record_list& by_time, const accusation_map::value_type& part,
                        const accusation_map::value_type& request) {
  if (part.second.crashes >= request.second.crashes + min_more_crashes)
    return true;
  return part.second.records >= request.second.records + min_more_crashes &&
         crashes_without(by_time, part.first, request.first) >= min_more_crashes;
}

/// Returns the suspect that explains the most crashes of those that are proved to be a cause: a
/// part that goes before all requests, or else a request.
static std::optional<std::pair<crash_cause, std::size_t>>
find_strongest(const record_list& by_time) {
  accusation_map parts;
  accusation_map requests;
  for (const crash_record* record : by_time) {
    for (const auto& [id, suspect] : record->suspects) {
      if (!suspect.cleared)
        (is_request_identity(id) ? requests : parts)[record->cause(id)].add(*record, suspect);
    }
  }
  const auto is_unproven = [](const auto& each) {
    return each.second.crashes < crash_evidence::crashes_that_prove_cause;
  };
  std::erase_if(parts, is_unproven);
  std::erase_if(requests, is_unproven);
  std::erase_if(parts, [&](const auto& part) {
    return std::any_of(requests.begin(), requests.end(),
                       [&](const auto& request) { return !goes_before(by_time, part, request); });
  });
  const accusation_map& candidates = parts.empty() ? requests : parts;
  const auto strongest = std::max_element(candidates.begin(), candidates.end(),
                                          [](const auto& left, const auto& right) {
                                            return right.second.is_stronger_than(left.second);
                                          });
  if (strongest == candidates.end())
    return std::nullopt;
  return std::pair(strongest->first, strongest->second.crashes);
}

static std::map<crash_cause, std::size_t>
find_proven_causes(const std::map<target_start, crash_record>& records) {
  record_list unexplained;
  for (const auto& [start, record] : records)
    unexplained.push_back(&record);
  std::sort(unexplained.begin(), unexplained.end(),
            [](const crash_record* left, const crash_record* right) {
              return left->crashed_at < right->crashed_at;
            });
  std::map<crash_cause, std::size_t> causes;
  while (const auto found = find_strongest(unexplained)) {
    causes.insert(*found);
    std::erase_if(unexplained,
                  [&](const crash_record* each) { return each->accuses(found->first); });
  }
  return causes;
}

/// Drops the oldest record that supports no ban, or the oldest one if all do.
void crash_evidence::evict_if_full() {
  while (records_.size() > max_records || (records_.size() > 1 && suspect_count() > max_suspects)) {
    const auto rank = [&](const record_entry& entry) {
      const bool supports_ban = std::any_of(proven_.begin(), proven_.end(), [&](const auto& each) {
        return entry.second.accuses(each.first);
      });
      return std::pair(supports_ban, entry.second.crashed_at);
    };
    records_.erase(std::min_element(
        records_.begin(), records_.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); }));
  }
}

static std::uint64_t digest_of(const target_start& start, const crash_record& record) {
  std::string text = start.target + " " + std::to_string(start.started_at_ms);
  for (const auto& [id, suspect] : record.suspects)
    text += " " + id + (suspect.cleared ? "-" : "+") + (suspect.answered_before ? "a" : "") +
            std::to_string(suspect.position) + "," + std::to_string(suspect.waited.count()) +
            suspect.unknown_elements;
  text += record.unknown_elements;
  return XXH3_64bits(text.data(), text.size());
}

void crash_evidence::update() {
  proven_ = find_proven_causes(records_);
  evict_if_full();
  digest_ = 0;
  accused_requests_.clear();
  for (const auto& [start, record] : records_) {
    digest_ += digest_of(start, record);
    for (const auto& [id, suspect] : record.suspects) {
      if (!suspect.cleared && is_request_identity(id))
        ++accused_requests_[id];
    }
  }
}

std::size_t crash_evidence::crashes_under(const std::string& request) const {
  const auto found = accused_requests_.find(request);
  return found == accused_requests_.end() ? 0 : found->second;
}

std::string crash_evidence::to_json(support::clock::time_point now, const crash_cause* only) const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [start, record] : records_) {
    if (only && !record.accuses(*only))
      continue;
    nlohmann::json suspects = nlohmann::json::object();
    for (const auto& [id, suspect] : record.suspects) {
      if (only && id != only->id)
        continue;
      nlohmann::json& entry = suspects[id];
      entry = {suspect.position, suspect.waited.count(), suspect.cleared};
      if (suspect.answered_before || !suspect.unknown_elements.empty())
        entry.push_back(suspect.answered_before);
      support::write_unknown_elements(entry, suspect.unknown_elements);
    }
    const auto age = std::chrono::duration_cast<microseconds>(now - record.crashed_at);
    list.push_back({start.target, start.started_at_ms, record.service, age.count(), suspects});
    support::write_unknown_elements(list.back(), record.unknown_elements);
  }
  return support::to_json_text(list);
}

static record_entry read_entry(const nlohmann::json& entry, support::clock::time_point now) {
  crash_record record{entry.at(2),
                      now - microseconds(entry.at(3).get<std::int64_t>()),
                      {},
                      support::read_unknown_elements(entry, record_elements)};
  for (const auto& [id, suspect] : entry.at(4).items())
    record.suspects[id] = {suspect.at(0), microseconds(suspect.at(1).get<std::int64_t>()),
                           suspect.at(2),
                           suspect.size() > min_suspect_elements && suspect.at(3).get<bool>(),
                           support::read_unknown_elements(suspect, suspect_elements)};
  return {{entry.at(0), entry.at(1)}, std::move(record)};
}

bool crash_evidence::merge_json(const std::string& text, support::clock::time_point now) {
  const auto list = nlohmann::json::parse(text);
  bool changed = false;
  for (const auto& entry : list.get_ref<const nlohmann::json::array_t&>()) {
    try {
      const auto [start, record] = read_entry(entry, now);
      changed = merge_without_update(start, record) || changed;
    } catch (const nlohmann::json::exception& error) {
      // A later build may write records of a kind that this one does not know.
      support::log_event(support::log_level::warning, "crash_record_unreadable",
                         {{"error", error.what()}});
    }
  }
  if (changed)
    update();
  return changed;
}

} // namespace camphorlug::gateway
