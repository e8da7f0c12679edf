#include "camphorlug/node/node_settings.h"

#include "camphorlug/support/config_table.h"

#include <charconv>
#include <cstdint>

namespace camphorlug::node {

using std::chrono::milliseconds;

static constexpr std::size_t min_key_length = 16;

static bool is_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size())
    return false;
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data() + colon + 1, end, port);
  return read.ec == std::errc() && read.ptr == end;
}

static std::string read_address(support::config_table& table, std::string_view key) {
  std::string address = table.required_text(key);
  if (!address.empty() && !is_address(address))
    table.add_error(key, "ip:port");
  return address;
}

/// Reads a secret key. The error message does not reveal any part of it.
static std::string read_key(support::config_table& table, std::string_view key,
                            support::config_errors& errors, const std::string& file) {
  std::string secret = table.required_text(key);
  if (!secret.empty() && secret.size() < min_key_length)
    errors.push_back({file, 0, std::string(key), "(hidden)", "a secret of 16 characters or more"});
  return secret;
}

static operator_account read_operator(support::config_table& table) {
  operator_account account;
  account.name = table.required_text("name");
  account.key_hash = table.required_text("key_sha256");
  account.role =
      table.choice("role", {"read", "edit"}) == "edit" ? operator_role::edit : operator_role::read;
  table.reject_unknown_keys();
  return account;
}

std::optional<node_settings> node_settings::parse(std::string_view text, std::string file,
                                                  support::config_errors& errors) {
  auto table = support::config_table::parse(text, file, errors);
  if (!table)
    return std::nullopt;
  node_settings settings;
  settings.id = table->required_text("id");
  settings.data_centre = table->required_text("data_centre");
  settings.address = read_address(*table, "address");
  settings.operator_address = read_address(*table, "operator_address");
  settings.platform_address = read_address(*table, "platform_address");
  settings.seeds = table->texts("seeds");
  for (std::string& name : table->texts("near_data_centres"))
    settings.near_data_centres.insert(std::move(name));
  settings.peer_key = read_key(*table, "peer_key", errors, file);
  settings.stream_key = read_key(*table, "stream_key", errors, file);
  settings.entries_valid_for =
      table->milliseconds("entries_valid_for_ms", {milliseconds(100), milliseconds(600'000)},
                          settings.entries_valid_for);
  settings.watchers_per_instance = table->integer("watchers_per_instance", {1, 1000}, 6);
  settings.readers_per_data_centre = table->integer("readers_per_data_centre", {1, 1000}, 2);
  for (support::config_table& account : table->tables("operator"))
    settings.operators.push_back(read_operator(account));
  table->reject_unknown_keys();
  if (!errors.empty())
    return std::nullopt;
  return settings;
}

} // namespace camphorlug::node
