#include "camphorlug/diagnosis/request_timeline.h"

#include "camphorlug/diagnosis/log_time.h"
#include "camphorlug/diagnosis/target_attempt.h"

#include <algorithm>
#include <map>
#include <set>

namespace camphorlug::diagnosis {

using nlohmann::ordered_json;

/// Events from this long before a request's arrival until this long after its end are related.
static constexpr std::chrono::milliseconds context_before{3000};
static constexpr std::chrono::milliseconds context_after{1000};

static std::string text_field(const ordered_json& line, const char* field) {
  const auto found = line.find(field);
  return found != line.end() && found->is_string() ? found->get<std::string>() : "";
}

static std::chrono::milliseconds milliseconds_field(const ordered_json& line, const char* field) {
  try {
    return std::chrono::milliseconds(std::stoll(text_field(line, field)));
  } catch (const std::exception&) {
    return std::chrono::milliseconds(0);
  }
}

void request_timeline::add(const std::string& line) {
  ordered_json value = ordered_json::parse(line, nullptr, false);
  if (!value.is_object() || !value.contains("event") ||
      !parse_log_time(text_field(value, "time"))) {
    ++unreadable_;
    return;
  }
  if (text_field(value, "request") == request_)
    own_.push_back(std::move(value));
  else if (text_field(value, "event") != "request")
    others_.push_back(std::move(value));
}

/// Whether the event concerns the node itself and may affect every request that it handles.
static bool is_node_event(const std::string& event) {
  static const std::set<std::string> events{"config_in_force", "leaving",    "peer_lost",
                                            "lines_omitted",   "store_lost", "store_regained"};
  return events.contains(event);
}

static void sort_by_time(std::vector<ordered_json>& lines) {
  std::stable_sort(lines.begin(), lines.end(), [](const auto& left, const auto& right) {
    return text_field(left, "time") < text_field(right, "time");
  });
}

std::vector<ordered_json> request_timeline::related() const {
  std::set<std::string> targets;
  std::set<std::string> nodes;
  std::vector<std::pair<wall_time, wall_time>> spans;
  for (const ordered_json& line : own_) {
    for (const target_attempt& attempt : parse_attempts(text_field(line, "targets")))
      targets.insert(attempt.target);
    nodes.insert(text_field(line, "node"));
    const wall_time ended_at = *parse_log_time(text_field(line, "time"));
    spans.emplace_back(ended_at - milliseconds_field(line, "total_ms") - context_before,
                       ended_at + context_after);
  }
  std::set<std::string> groups;
  for (const ordered_json& line : others_) {
    if (targets.contains(text_field(line, "target")) && !text_field(line, "group").empty())
      groups.insert(text_field(line, "group"));
  }
  std::vector<ordered_json> lines;
  for (const ordered_json& line : others_) {
    const wall_time at = *parse_log_time(text_field(line, "time"));
    const bool in_time = std::any_of(spans.begin(), spans.end(), [&](const auto& span) {
      return at >= span.first && at <= span.second;
    });
    const std::string event = text_field(line, "event");
    const bool is_related =
        targets.contains(text_field(line, "target")) ||
        (event == "group_phase" && groups.contains(text_field(line, "group"))) ||
        (is_node_event(event) && nodes.contains(text_field(line, "node")));
    if (in_time && is_related)
      lines.push_back(line);
  }
  sort_by_time(lines);
  return lines;
}

static std::string describe_outcome(const std::string& outcome) {
  static const std::map<std::string, std::string> meanings{
      {"answered", "The caller received the target's complete response."},
      {"refused", "The request did not run; the caller was told when to retry."},
      {"failed", "The target ran the request and returned an error, which was forwarded."},
      {"unknown",
       "A target may have run the request but sent no complete response; the caller was told so."},
      {"cut", "The caller received part of the stream, and its connection was reset."},
      {"abandoned",
       "The caller closed its connection first; the target was told to cancel the request."},
      {"rejected", "The request reached no target."},
  };
  const auto found = meanings.find(outcome);
  return found == meanings.end() ? "" : found->second;
}

static std::string suggest_next_step(const std::string& outcome) {
  if (outcome == "refused")
    return "Next: check whether there were fewer groups than usual (group_phase) or more load "
           "(waiting_requests in the metrics).";
  if (outcome == "unknown")
    return "Next: search the target's own log for the request id to find out whether it ran.";
  if (outcome == "cut")
    return "Next: the events of its targets above show why they stopped.";
  return "";
}

static void describe_request(const ordered_json& line, std::vector<std::string>& text_lines) {
  const std::string outcome = text_field(line, "outcome");
  std::string route = text_field(line, "route");
  if (!route.empty())
    route = " on route " + route;
  text_lines.push_back(text_field(line, "time") + " node " + text_field(line, "node") + ": " +
                       outcome + route + ", " + text_field(line, "detail") + ".");
  text_lines.push_back(describe_outcome(outcome));
  if (!text_field(line, "total_ms").empty())
    text_lines.push_back(
        "It took " + text_field(line, "total_ms") + " ms, " + text_field(line, "first_ms") +
        " ms to the first byte, under configuration " + text_field(line, "config") + ".");
  std::size_t number = 0;
  for (const target_attempt& attempt : parse_attempts(text_field(line, "targets"))) {
    std::string sentence = "Sending " + std::to_string(++number) + " went to " + attempt.target;
    for (const std::string& reason : attempt.failure_reasons)
      sentence += "; " + reason;
    text_lines.push_back(sentence + ".");
  }
}

static std::string describe_log_line(const ordered_json& line) {
  std::string sentence = text_field(line, "time") + " node " + text_field(line, "node") + ": " +
                         text_field(line, "event");
  for (const auto& [name, value] : line.items()) {
    static const std::set<std::string> printed_fields{"time", "severity", "node", "event"};
    if (!printed_fields.contains(name))
      sentence += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return sentence;
}

std::vector<std::string> request_timeline::explanation() const {
  std::vector<std::string> text_lines;
  if (!found()) {
    text_lines.push_back("No line is about request " + request_ + ".");
    text_lines.push_back(
        "Collect the logs of all nodes; a retry by the caller has a different id.");
    return text_lines;
  }
  std::vector<ordered_json> own = own_;
  sort_by_time(own);
  for (const ordered_json& line : own)
    describe_request(line, text_lines);
  const std::vector<ordered_json> lines = related();
  if (!lines.empty())
    text_lines.emplace_back("Related events:");
  for (const ordered_json& line : lines)
    text_lines.push_back(describe_log_line(line));
  text_lines.push_back(suggest_next_step(text_field(own.back(), "outcome")));
  std::erase(text_lines, "");
  return text_lines;
}

ordered_json request_timeline::lines() const {
  std::vector<ordered_json> all = related();
  all.insert(all.end(), own_.begin(), own_.end());
  sort_by_time(all);
  return all;
}

} // namespace camphorlug::diagnosis
