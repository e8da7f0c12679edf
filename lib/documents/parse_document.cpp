#include "camphorlug/documents/parse_document.h"

#include "camphorlug/support/config_table.h"

#include <algorithm>
#include <set>

namespace camphorlug::documents {

using std::chrono::milliseconds;
using support::config_table;

static constexpr support::duration_range request_duration_range{milliseconds(10),
                                                                milliseconds(86'400'000)};
static constexpr std::size_t sha256_hex_size = 64;

static bool is_name(const std::string& text) {
  constexpr std::size_t max_length = 63;
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  };
  return !text.empty() && text.size() <= max_length &&
         std::all_of(text.begin(), text.end(), allowed);
}

static std::string read_name(config_table& table, std::string_view key) {
  std::string name = table.required_text(key);
  if (!name.empty() && !is_name(name))
    table.add_error(key, "1 to 63 lower-case letters, digits and hyphens");
  return name;
}

static model_spec read_model(config_table table) {
  model_spec model;
  model.name = table.required_text("name");
  model.version = table.required_text("version");
  model.adapters = table.texts("adapters");
  model.replicas = table.integer("replicas", {0, 100'000}, 1);
  model.max_replicas = table.integer("max_replicas", {0, 100'000}, 0);
  if (model.max_replicas != 0 && model.max_replicas < model.replicas)
    table.add_error("max_replicas", "0 for no limit, or at least the number of replicas");
  model.span = table.integer("span", {1, 64}, 1);
  model.optimize_for = table.choice("favour", {"uptime", "utilisation"}) == "uptime"
                           ? placement_objective::uptime
                           : placement_objective::utilisation;
  model.engines_check_numbers = table.flag("engines_check_numbers", true);
  model.concurrent_loads = table.integer("concurrent_loads", {1, 10'000}, 8);
  table.reject_unknown_keys();
  return model;
}

static request_class read_class(config_table& table) {
  request_class entry;
  entry.name = read_name(table, "name");
  entry.weight = static_cast<double>(table.integer("weight", {1, 1000}, 1));
  entry.priority = static_cast<int>(table.integer("priority", {-100, 100}, 0));
  entry.deadline = table.milliseconds("deadline_ms", request_duration_range, entry.deadline);
  table.reject_unknown_keys();
  return entry;
}

static organisation read_organisation(config_table& table) {
  organisation entry;
  entry.name = read_name(table, "name");
  entry.key_hashes = table.texts("key_sha256");
  for (const std::string& hash : entry.key_hashes) {
    if (hash.size() != sha256_hex_size)
      table.add_error("key_sha256", "SHA-256 hashes of 64 lower-case hexadecimal digits");
  }
  entry.weight = static_cast<double>(table.integer("weight", {1, 1000}, 1));
  entry.max_in_flight = table.integer("max_in_flight", {0, 1'000'000}, 0);
  entry.default_class = table.text("default_class", "");
  table.reject_unknown_keys();
  return entry;
}

static void read_limits(config_table table, service_document& document) {
  document.first_byte_limit =
      table.milliseconds("first_byte_ms", request_duration_range, document.first_byte_limit);
  document.stall_limit =
      table.milliseconds("stall_ms", request_duration_range, document.stall_limit);
  document.first_token_target = table.milliseconds("first_token_target_ms", request_duration_range,
                                                   document.first_token_target);
  document.queue_limit = table.integer("queue", {0, 100'000}, 500);
  document.max_window = table.integer("window", {1, 10'000}, 64);
  table.reject_unknown_keys();
}

static void read_classes(config_table& table, service_document& document) {
  std::set<std::string> names;
  for (config_table& entry : table.tables("class")) {
    document.classes.push_back(read_class(entry));
    if (!names.insert(document.classes.back().name).second)
      entry.add_error("name", "a name that no other class has");
  }
  if (document.classes.empty())
    document.classes.push_back({"standard", 1, 0, milliseconds(30'000)});
}

static void read_organisations(config_table& table, service_document& document) {
  std::set<std::string> names;
  for (config_table& entry : table.tables("organisation")) {
    organisation entry_organisation = read_organisation(entry);
    if (!names.insert(entry_organisation.name).second)
      entry.add_error("name", "a name that no other organisation has");
    if (entry_organisation.default_class.empty())
      entry_organisation.default_class = document.classes.front().name;
    if (!document.find_class(entry_organisation.default_class))
      entry.add_error("default_class", "the name of one of this document's classes");
    document.organisations.push_back(std::move(entry_organisation));
  }
}

std::optional<service_document> parse_document(std::string_view text,
                                               support::config_errors& errors) {
  const std::size_t initial_error_count = errors.size();
  std::optional<config_table> table = config_table::parse(text, "document", errors);
  if (!table)
    return std::nullopt;
  service_document document;
  document.service = read_name(*table, "service");
  document.pool = read_name(*table, "pool");
  document.data_centres = table->texts("data_centres");
  document.non_idempotent_paths = table->texts("non_idempotent_paths");
  for (const std::int64_t status : table->integers("not_run_statuses", {400, 599}))
    document.not_run_statuses.push_back(static_cast<int>(status));
  document.echoes_attempt_id = table->flag("echoes_attempt_id", true);
  if (table->has("model"))
    document.model = read_model(table->table("model"));
  read_limits(table->table("limits"), document);
  read_classes(*table, document);
  read_organisations(*table, document);
  table->reject_unknown_keys();
  if (errors.size() != initial_error_count)
    return std::nullopt;
  return document;
}

} // namespace camphorlug::documents
