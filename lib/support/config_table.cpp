#include "camphorlug/support/config_table.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace camphorlug::support {

struct config_table::state {
  /// Owns the table of the whole file, because copies of its parts lose their line numbers.
  std::shared_ptr<const toml::table> root;
  const toml::table* values = nullptr;
  std::string source;
  std::string path;
  std::uint32_t line = 1;
  config_errors* errors = nullptr;
  std::set<std::string, std::less<>> read_keys;

  std::string full_key(std::string_view key) const {
    return path.empty() ? std::string(key) : path + "." + std::string(key);
  }

  const toml::node* find(std::string_view key) {
    read_keys.emplace(key);
    return values->get(key);
  }
};

static std::string format_value(const toml::node& node) {
  std::ostringstream text;
  node.visit([&text](const auto& value) { text << value; });
  std::string line = text.str();
  constexpr std::size_t max_length = 60;
  for (char& c : line)
    c = c == '\n' ? ' ' : c;
  return line.size() <= max_length ? line : line.substr(0, max_length) + "...";
}

static void add_node_error(config_errors& errors, const std::string& source, const std::string& key,
                           const toml::node& found, std::string allowed) {
  errors.push_back(
      {source, found.source().begin.line, key, format_value(found), std::move(allowed)});
}

static std::string describe_range(std::int64_t min, std::int64_t max) {
  return "an integer from " + std::to_string(min) + " to " + std::to_string(max);
}

std::optional<config_table> config_table::parse(std::string_view text, std::string source,
                                                config_errors& errors) {
  try {
    auto parsed = std::make_unique<state>();
    parsed->root = std::make_shared<const toml::table>(toml::parse(text, source));
    parsed->values = parsed->root.get();
    parsed->source = std::move(source);
    parsed->errors = &errors;
    return config_table(std::move(parsed));
  } catch (const toml::parse_error& error) {
    errors.push_back({source, error.source().begin.line, "(file)", std::string(error.description()),
                      "valid TOML"});
    return std::nullopt;
  }
}

config_table::config_table(std::unique_ptr<state> state) : state_(std::move(state)) {}
config_table::~config_table() = default;
config_table::config_table(config_table&&) noexcept = default;

std::string config_table::required_text(std::string_view key) {
  if (!state_->find(key)) {
    state_->errors->push_back(
        {state_->source, state_->line, state_->full_key(key), "", "a non-empty string"});
    return {};
  }
  const std::size_t errors_before = state_->errors->size();
  std::string value = text(key, "");
  if (value.empty() && state_->errors->size() == errors_before)
    add_error(key, "a non-empty string");
  return value;
}

std::string config_table::text(std::string_view key, std::string fallback) {
  const toml::node* found = state_->find(key);
  if (!found)
    return fallback;
  if (const auto* value = found->as_string())
    return value->get();
  add_error(key, "a quoted string");
  return fallback;
}

std::string config_table::choice(std::string_view key, const std::vector<std::string>& allowed) {
  std::string value = text(key, allowed.front());
  if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
    return value;
  std::string list = "one of";
  for (const std::string& each : allowed)
    list += " \"" + each + "\"";
  add_error(key, list);
  return allowed.front();
}

std::int64_t config_table::integer(std::string_view key, integer_range range,
                                   std::int64_t fallback) {
  const toml::node* found = state_->find(key);
  if (!found)
    return fallback;
  const auto* value = found->as_integer();
  if (value && value->get() >= range.min && value->get() <= range.max)
    return value->get();
  add_error(key, describe_range(range.min, range.max));
  return fallback;
}

std::chrono::milliseconds config_table::milliseconds(std::string_view key, duration_range range,
                                                     std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds(
      integer(key, {range.min.count(), range.max.count()}, fallback.count()));
}

bool config_table::flag(std::string_view key, bool fallback) {
  const toml::node* found = state_->find(key);
  if (!found)
    return fallback;
  if (const auto* value = found->as_boolean())
    return value->get();
  add_error(key, "true or false");
  return fallback;
}

std::vector<std::string> config_table::texts(std::string_view key) {
  std::vector<std::string> values;
  const toml::node* found = state_->find(key);
  if (!found)
    return values;
  const toml::array* list = found->as_array();
  for (std::size_t i = 0; list && i < list->size(); ++i) {
    if (const auto* value = list->get(i)->as_string())
      values.push_back(value->get());
  }
  if (!list || values.size() != list->size())
    add_error(key, "a list of quoted strings");
  return values;
}

std::vector<std::int64_t> config_table::integers(std::string_view key, integer_range range) {
  std::vector<std::int64_t> values;
  const toml::node* found = state_->find(key);
  if (!found)
    return values;
  const toml::array* list = found->as_array();
  for (std::size_t i = 0; list && i < list->size(); ++i) {
    const auto* value = list->get(i)->as_integer();
    if (value && value->get() >= range.min && value->get() <= range.max)
      values.push_back(value->get());
  }
  if (!list || values.size() != list->size())
    add_error(key, "a list whose entries are each " + describe_range(range.min, range.max));
  return values;
}

config_table config_table::table(std::string_view key) {
  auto subtable = std::make_unique<state>();
  subtable->source = state_->source;
  subtable->path = state_->full_key(key);
  subtable->line = state_->line;
  subtable->errors = state_->errors;
  subtable->root = std::make_shared<const toml::table>();
  subtable->values = subtable->root.get();
  if (const toml::node* found = state_->find(key)) {
    subtable->line = found->source().begin.line;
    if (const toml::table* values = found->as_table()) {
      subtable->root = state_->root;
      subtable->values = values;
    } else {
      add_error(key, "a table: [" + subtable->path + "]");
    }
  }
  return config_table(std::move(subtable));
}

std::vector<config_table> config_table::tables(std::string_view key) {
  std::vector<config_table> list;
  const toml::node* found = state_->find(key);
  if (!found)
    return list;
  const toml::array* entries = found->as_array();
  for (std::size_t i = 0; entries && i < entries->size(); ++i) {
    const toml::table* values = entries->get(i)->as_table();
    if (!values)
      continue;
    auto subtable = std::make_unique<state>();
    subtable->root = state_->root;
    subtable->values = values;
    subtable->source = state_->source;
    subtable->path = state_->full_key(key) + "[" + std::to_string(i) + "]";
    subtable->line = values->source().begin.line;
    subtable->errors = state_->errors;
    list.push_back(config_table(std::move(subtable)));
  }
  if (!entries || list.size() != entries->size())
    add_error(key, "tables: [[" + state_->full_key(key) + "]]");
  return list;
}

bool config_table::has(std::string_view key) const {
  return state_->values->contains(key);
}

void config_table::add_error(std::string_view key, std::string allowed) {
  if (const toml::node* found = state_->find(key)) {
    add_node_error(*state_->errors, state_->source, state_->full_key(key), *found,
                   std::move(allowed));
    return;
  }
  state_->errors->push_back(
      {state_->source, state_->line, state_->full_key(key), "", std::move(allowed)});
}

void config_table::reject_unknown_keys() {
  std::string known;
  for (const std::string& key : state_->read_keys)
    known += (known.empty() ? "" : ", ") + key;
  for (const auto& [key, value] : *state_->values) {
    if (!state_->read_keys.contains(key.str()))
      add_node_error(*state_->errors, state_->source, state_->full_key(key.str()), value,
                     "one of the keys " + known);
  }
}

} // namespace camphorlug::support
