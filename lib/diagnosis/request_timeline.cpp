#include "camphorlug/diagnosis/request_timeline.h"

#include "camphorlug/diagnosis/log_time.h"
#include "camphorlug/diagnosis/target_attempt.h"

#include <algorithm>
#include <map>
#include <set>

namespace camphorlug::diagnosis {

using nlohmann::ordered_json;

/// What is told beside a request: this long before its arrival and after its end.
static constexpr std::chrono::milliseconds context_before{3000};
static constexpr std::chrono::milliseconds context_after{1000};

static std::string text_of(const ordered_json& line, const char* field) {
  const auto found = line.find(field);
  return found != line.end() && found->is_string() ? found->get<std::string>() : "";
}

static std::chrono::milliseconds milliseconds_field(const ordered_json& line, const char* field) {
  try {
    return std::chrono::milliseconds(std::stoll(text_of(line, field)));
  } catch (const std::exception&) {
    return std::chrono::milliseconds(0);
  }
}

void request_timeline::add(const std::string& line) {
  ordered_json value = ordered_json::parse(line, nullptr, false);
  if (!value.is_object() || !value.contains("event") || !parse_log_time(text_of(value, "time"))) {
    ++unreadable_;
    return;
  }
  if (text_of(value, "request") == request_)
    own_.push_back(std::move(value));
  else if (text_of(value, "event") != "request")
    others_.push_back(std::move(value));
}

/// Events of the node itself that bear on each request that it handles.
static bool is_node_event(const std::string& event) {
  static const std::set<std::string> events{"config_in_force", "leaving",    "peer_lost",
                                            "lines_omitted",   "store_lost", "store_regained"};
  return events.contains(event);
}

static void sort_by_time(std::vector<ordered_json>& lines) {
  std::stable_sort(lines.begin(), lines.end(), [](const auto& left, const auto& right) {
    return text_of(left, "time") < text_of(right, "time");
  });
}

std::vector<ordered_json> request_timeline::related() const {
  std::set<std::string> targets;
  std::set<std::string> nodes;
  std::vector<std::pair<wall_time, wall_time>> spans;
  for (const ordered_json& line : own_) {
    for (const target_attempt& step : parse_attempts(text_of(line, "targets")))
      targets.insert(step.target);
    nodes.insert(text_of(line, "node"));
    const wall_time ended_at = *parse_log_time(text_of(line, "time"));
    spans.emplace_back(ended_at - milliseconds_field(line, "total_ms") - context_before,
                       ended_at + context_after);
  }
  std::set<std::string> groups;
  for (const ordered_json& line : others_) {
    if (targets.contains(text_of(line, "target")) && !text_of(line, "group").empty())
      groups.insert(text_of(line, "group"));
  }
  std::vector<ordered_json> lines;
  for (const ordered_json& line : others_) {
    const wall_time at = *parse_log_time(text_of(line, "time"));
    const bool in_time = std::any_of(spans.begin(), spans.end(), [&](const auto& span) {
      return at >= span.first && at <= span.second;
    });
    const std::string event = text_of(line, "event");
    const bool matters = targets.contains(text_of(line, "target")) ||
                         (event == "group_phase" && groups.contains(text_of(line, "group"))) ||
                         (is_node_event(event) && nodes.contains(text_of(line, "node")));
    if (in_time && matters)
      lines.push_back(line);
  }
  sort_by_time(lines);
  return lines;
}

static std::string describe_outcome(const std::string& outcome) {
  static const std::map<std::string, std::string> meanings{
      {"answered", "The caller has the target's whole answer."},
      {"refused", "It did not run; the caller was told when to return."},
      {"failed", "The target ran it and answered with a failure of its own, which was passed on."},
      {"unknown", "A target may have run it and gave no whole answer; the caller was told so."},
      {"cut", "The caller has a part of the stream, and its connection was reset."},
      {"abandoned", "The caller closed its connection first; the target was told to stop."},
      {"rejected", "It reached no target."},
  };
  const auto found = meanings.find(outcome);
  return found == meanings.end() ? "" : found->second;
}

static std::string suggest_next_step(const std::string& outcome) {
  if (outcome == "refused")
    return "Next: were there fewer groups than usual (group_phase), or more load "
           "(waiting_requests in the metrics)?";
  if (outcome == "unknown")
    return "Next: look for the request's id in the target's own log to learn whether it ran.";
  if (outcome == "cut")
    return "Next: the lines on its targets above tell why they stopped.";
  return "";
}

static void describe_request(const ordered_json& line, std::vector<std::string>& story) {
  const std::string outcome = text_of(line, "outcome");
  std::string route = text_of(line, "route");
  if (!route.empty())
    route = " on route " + route;
  story.push_back(text_of(line, "time") + " node " + text_of(line, "node") + ": " + outcome +
                  route + ", " + text_of(line, "detail") + ".");
  story.push_back(describe_outcome(outcome));
  if (!text_of(line, "total_ms").empty())
    story.push_back("It took " + text_of(line, "total_ms") + " ms, " + text_of(line, "first_ms") +
                    " ms to the first byte, under configuration " + text_of(line, "config") + ".");
  std::size_t number = 0;
  for (const target_attempt& step : parse_attempts(text_of(line, "targets"))) {
    std::string sentence = "Sending " + std::to_string(++number) + " went to " + step.target;
    for (const std::string& trouble : step.troubles)
      sentence += "; " + trouble;
    story.push_back(sentence + ".");
  }
}

static std::string describe_log_line(const ordered_json& line) {
  std::string sentence =
      text_of(line, "time") + " node " + text_of(line, "node") + ": " + text_of(line, "event");
  for (const auto& [name, value] : line.items()) {
    static const std::set<std::string> said{"time", "severity", "node", "event"};
    if (!said.contains(name))
      sentence += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return sentence;
}

std::vector<std::string> request_timeline::explanation() const {
  std::vector<std::string> story;
  if (!found()) {
    story.push_back("No line is about request " + request_ + ".");
    story.push_back("Collect the logs of all nodes; a caller's second attempt has another id.");
    return story;
  }
  std::vector<ordered_json> own = own_;
  sort_by_time(own);
  for (const ordered_json& line : own)
    describe_request(line, story);
  const std::vector<ordered_json> lines = related();
  if (!lines.empty())
    story.emplace_back("Around it:");
  for (const ordered_json& line : lines)
    story.push_back(describe_log_line(line));
  story.push_back(suggest_next_step(text_of(own.back(), "outcome")));
  std::erase(story, "");
  return story;
}

ordered_json request_timeline::lines() const {
  std::vector<ordered_json> all = related();
  all.insert(all.end(), own_.begin(), own_.end());
  sort_by_time(all);
  return all;
}

} // namespace camphorlug::diagnosis
