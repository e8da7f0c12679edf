#include "load_report.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace camphorlug::load {

static double to_ms(std::chrono::nanoseconds interval) {
  return std::chrono::duration<double, std::milli>(interval).count();
}

static double quantile(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1) + 0.5);
  return values[index];
}

void load_report::record(const report_key& label, const caller::caller_result& result) {
  caller_statistics& tally = statistics_by_key_[label];
  ++tally.sent;
  tally.tokens += result.tokens;
  if (result.complete) {
    ++tally.answered;
    tally.total_ms.push_back(to_ms(result.total));
    if (result.tokens > 0)
      tally.first_token_ms.push_back(to_ms(result.first_token));
    for (const auto gap : result.token_gaps)
      tally.token_gap_ms.push_back(to_ms(gap));
    return;
  }
  if (result.outcome == "not-run") {
    ++tally.not_run;
    tally.refusal_ms.push_back(to_ms(result.total));
  } else if (result.outcome == "unknown") {
    ++tally.unknown;
  } else {
    ++tally.incomplete;
  }
}

void load_report::record_retry(const report_key& label, const caller::caller_result& result) {
  caller_statistics& tally = statistics_by_key_[label];
  ++tally.returned;
  tally.served_on_return += result.complete ? 1 : 0;
}

std::string load_report::to_json(std::chrono::seconds duration) const {
  auto list = nlohmann::ordered_json::array();
  for (const auto& [label, tally] : statistics_by_key_) {
    nlohmann::ordered_json each;
    each["organisation"] = label.organisation;
    each["class"] = label.class_name;
    each["sent"] = tally.sent;
    each["answered"] = tally.answered;
    each["not_run"] = tally.not_run;
    each["unknown"] = tally.unknown;
    each["incomplete"] = tally.incomplete;
    each["returned"] = tally.returned;
    each["served_on_return"] = tally.served_on_return;
    each["answers_per_s"] =
        static_cast<double>(tally.answered) / static_cast<double>(duration.count());
    each["tokens_per_s"] =
        static_cast<double>(tally.tokens) / static_cast<double>(duration.count());
    const auto add_quantiles = [&each](const char* name, const std::vector<double>& values) {
      each[name] = {{"p50", quantile(values, 0.5)},
                    {"p95", quantile(values, 0.95)},
                    {"p99", quantile(values, 0.99)}};
    };
    add_quantiles("first_token_ms", tally.first_token_ms);
    add_quantiles("token_gap_ms", tally.token_gap_ms);
    add_quantiles("total_ms", tally.total_ms);
    add_quantiles("refusal_ms", tally.refusal_ms);
    list.push_back(each);
  }
  return list.dump() + "\n";
}

std::string load_report::to_text(std::chrono::seconds duration) const {
  std::string text;
  for (const auto& [label, tally] : statistics_by_key_) {
    char line[512];
    std::snprintf(line, sizeof line,
                  "%s/%s: sent %zu answered %zu (%.1f/s) not-run %zu unknown %zu incomplete %zu\n"
                  "  first token ms p50 %.1f p95 %.1f p99 %.1f; token gap p95 %.1f\n"
                  "  total ms p50 %.1f p95 %.1f p99 %.1f; refusal p95 %.1f\n"
                  "  retried after refusal %zu, served on retry %zu\n",
                  label.organisation.c_str(), label.class_name.c_str(), tally.sent, tally.answered,
                  static_cast<double>(tally.answered) / static_cast<double>(duration.count()),
                  tally.not_run, tally.unknown, tally.incomplete,
                  quantile(tally.first_token_ms, 0.5), quantile(tally.first_token_ms, 0.95),
                  quantile(tally.first_token_ms, 0.99), quantile(tally.token_gap_ms, 0.95),
                  quantile(tally.total_ms, 0.5), quantile(tally.total_ms, 0.95),
                  quantile(tally.total_ms, 0.99), quantile(tally.refusal_ms, 0.95), tally.returned,
                  tally.served_on_return);
    text += line;
  }
  return text;
}

} // namespace camphorlug::load
