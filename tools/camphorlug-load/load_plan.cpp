#include "load_plan.h"

#include "camphorlug/support/config_table.h"

namespace camphorlug::load {

static caller_plan read_caller(support::config_table& table) {
  caller_plan caller;
  caller.organisation = table.required_text("organisation");
  caller.key = table.required_text("key");
  caller.class_name = table.text("class", "");
  caller.rate_per_minute = table.integer("rate_per_minute", {1, 10'000'000}, 60);
  caller.tokens = table.integer("tokens", {0, 1'000'000}, 16);
  caller.path = table.text("path", caller.path);
  caller.prompt_characters = table.integer("prompt_characters", {1, 1'000'000}, 200);
  caller.preambles = table.integer("preambles", {0, 1'000'000}, 0);
  caller.obeys_retry_after = table.flag("obeys_retry_after", false);
  table.reject_unknown_keys();
  return caller;
}

std::optional<load_plan> load_plan::parse(std::string_view text, std::string file,
                                          support::config_errors& errors) {
  auto table = support::config_table::parse(text, std::move(file), errors);
  if (!table)
    return std::nullopt;
  load_plan plan;
  plan.entries = table->texts("entries");
  plan.service = table->required_text("service");
  plan.duration = std::chrono::seconds(table->integer("seconds", {1, 86'400}, 10));
  plan.seed = static_cast<std::uint64_t>(table->integer("seed", {0, INT64_MAX}, 1));
  for (support::config_table& caller : table->tables("caller"))
    plan.callers.push_back(read_caller(caller));
  if (plan.entries.empty())
    table->add_error("entries", "at least one ip:port");
  table->reject_unknown_keys();
  if (!errors.empty())
    return std::nullopt;
  return plan;
}

} // namespace camphorlug::load
