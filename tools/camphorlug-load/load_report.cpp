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

void load_report::record(const report_key& key, const caller::caller_result& result) {
  caller_statistics& statistics = statistics_by_key_[key];
  ++statistics.sent;
  statistics.tokens += result.tokens;
  if (result.complete) {
    ++statistics.answered;
    statistics.total_ms.push_back(to_ms(result.total));
    if (result.tokens > 0)
      statistics.first_token_ms.push_back(to_ms(result.first_token));
    for (const auto gap : result.token_gaps)
      statistics.token_gap_ms.push_back(to_ms(gap));
    return;
  }
  if (result.outcome == "not-run") {
    ++statistics.not_run;
    statistics.refusal_ms.push_back(to_ms(result.total));
  } else if (result.outcome == "unknown") {
    ++statistics.unknown;
  } else {
    ++statistics.incomplete;
  }
}

void load_report::record_retry(const report_key& key, const caller::caller_result& result) {
  caller_statistics& statistics = statistics_by_key_[key];
  ++statistics.retried;
  statistics.served_on_retry += result.complete ? 1 : 0;
}

std::string load_report::to_json(std::chrono::seconds duration) const {
  auto list = nlohmann::ordered_json::array();
  for (const auto& [key, statistics] : statistics_by_key_) {
    nlohmann::ordered_json each;
    each["organisation"] = key.organisation;
    each["class"] = key.class_name;
    each["sent"] = statistics.sent;
    each["answered"] = statistics.answered;
    each["not_run"] = statistics.not_run;
    each["unknown"] = statistics.unknown;
    each["incomplete"] = statistics.incomplete;
    each["returned"] = statistics.retried;
    each["served_on_return"] = statistics.served_on_retry;
    each["answers_per_s"] =
        static_cast<double>(statistics.answered) / static_cast<double>(duration.count());
    each["tokens_per_s"] =
        static_cast<double>(statistics.tokens) / static_cast<double>(duration.count());
    const auto add_quantiles = [&each](const char* name, const std::vector<double>& values) {
      each[name] = {{"p50", quantile(values, 0.5)},
                    {"p95", quantile(values, 0.95)},
                    {"p99", quantile(values, 0.99)}};
    };
    add_quantiles("first_token_ms", statistics.first_token_ms);
    add_quantiles("token_gap_ms", statistics.token_gap_ms);
    add_quantiles("total_ms", statistics.total_ms);
    add_quantiles("refusal_ms", statistics.refusal_ms);
    list.push_back(each);
  }
  return list.dump() + "\n";
}

std::string load_report::to_text(std::chrono::seconds duration) const {
  std::string text;
  for (const auto& [key, statistics] : statistics_by_key_) {
    char line[512];
    std::snprintf(
        line, sizeof line,
        "%s/%s: sent %zu answered %zu (%.1f/s) not-run %zu unknown %zu incomplete %zu\n"
        "  first token ms p50 %.1f p95 %.1f p99 %.1f; token gap p95 %.1f\n"
        "  total ms p50 %.1f p95 %.1f p99 %.1f; refusal p95 %.1f\n"
        "  retried after refusal %zu, served on retry %zu\n",
        key.organisation.c_str(), key.class_name.c_str(), statistics.sent, statistics.answered,
        static_cast<double>(statistics.answered) / static_cast<double>(duration.count()),
        statistics.not_run, statistics.unknown, statistics.incomplete,
        quantile(statistics.first_token_ms, 0.5), quantile(statistics.first_token_ms, 0.95),
        quantile(statistics.first_token_ms, 0.99), quantile(statistics.token_gap_ms, 0.95),
        quantile(statistics.total_ms, 0.5), quantile(statistics.total_ms, 0.95),
        quantile(statistics.total_ms, 0.99), quantile(statistics.refusal_ms, 0.95),
        statistics.retried, statistics.served_on_retry);
    text += line;
  }
  return text;
}

} // namespace camphorlug::load
