#include "camphorlug/gateway/relay_path.h"

#include "camphorlug/net/percent_encoding.h"

#include <algorithm>
#include <charconv>

namespace camphorlug::gateway {

static constexpr std::string_view fresh_connection = "fresh";
static constexpr std::string_view pooled_connection = "pooled";

std::string to_relay_path(const relay_parameters& parameters) {
  const bool is_fresh = parameters.connection == net::connection_use::fresh;
  std::string path(relay_prefix);
  path += parameters.address + "/" + net::percent_encode(parameters.start.target) + "/" +
          std::to_string(parameters.start.started_at_ms) + "/" + parameters.method + "/";
  path += is_fresh ? fresh_connection : pooled_connection;
  path += "/" + std::to_string(parameters.time_left.count());
  return path + parameters.target;
}

/// Removes the text up to the next slash, and the slash.
static std::string_view take_segment(std::string_view& rest) {
  const std::string_view segment = rest.substr(0, rest.find('/'));
  rest.remove_prefix(std::min(rest.size(), segment.size() + 1));
  return segment;
}

template<typename number>
static bool parse_number(std::string_view text, number& value) {
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

std::optional<relay_parameters> parse_relay_path(std::string_view path_and_query) {
  if (!path_and_query.starts_with(relay_prefix))
    return std::nullopt;
  std::string_view rest = path_and_query.substr(relay_prefix.size());
  relay_parameters read;
  read.address = take_segment(rest);
  read.start.target = net::percent_decode(take_segment(rest));
  const std::string_view started_at = take_segment(rest);
  read.method = take_segment(rest);
  const std::string_view connection = take_segment(rest);
  const std::size_t target_at = rest.find('/');
  std::int64_t time_left = 0;
  if (target_at == std::string_view::npos || read.method.empty() ||
      !parse_number(started_at, read.start.started_at_ms) ||
      !parse_number(rest.substr(0, target_at), time_left) || time_left <= 0 ||
      (connection != fresh_connection && connection != pooled_connection))
    return std::nullopt;
  read.connection =
      connection == fresh_connection ? net::connection_use::fresh : net::connection_use::pooled;
  read.time_left = std::chrono::milliseconds(time_left);
  read.target = rest.substr(target_at);
  return read;
}

} // namespace camphorlug::gateway
