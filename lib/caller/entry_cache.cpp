#include "camphorlug/caller/entry_cache.h"

#include "camphorlug/net/transport_error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::caller {

static constexpr std::chrono::milliseconds fetch_timeout{1000};

entry_cache::entry_cache(net::http_client& client, support::clock& time,
                         std::vector<std::string> seed_addresses, std::string data_centre)
    : client_(client), time_(time), seed_addresses_(std::move(seed_addresses)),
      data_centre_(std::move(data_centre)) {}

support::task<std::optional<std::string>> entry_cache::address() {
  if (!entries_.empty() && time_.now() < valid_until_)
    co_return entries_.front();
  std::vector<std::string> candidates = entries_;
  candidates.insert(candidates.end(), seed_addresses_.begin(), seed_addresses_.end());
  for (const std::string& address : candidates) {
    const bool answered = co_await fetch_entries(address);
    if (answered)
      co_return entries_.front();
  }
  co_return std::nullopt;
}

support::task<bool> entry_cache::fetch_entries(std::string address) {
  net::client_request request;
  request.address = std::move(address);
  request.target = "/v1/entries";
  if (!data_centre_.empty())
    request.target += "?data_centre=" + data_centre_;
  const auto sent_at = time_.now();
  try {
    const net::client_response response = co_await client_.fetch(std::move(request), fetch_timeout);
    const auto document = nlohmann::json::parse(response.body);
    std::vector<std::string> entries;
    for (const auto& each : document.at("entries"))
      entries.push_back(each.at("address"));
    if (entries.empty())
      co_return false;
    entries_ = std::move(entries);
    valid_until_ = sent_at + std::chrono::milliseconds(document.at("valid_for_ms"));
    co_return true;
  } catch (const net::transport_error&) {
    co_return false;
  } catch (const nlohmann::json::exception&) {
    co_return false;
  }
}

void entry_cache::remove(const std::string& address) {
  const auto position = std::find(entries_.begin(), entries_.end(), address);
  if (position != entries_.end())
    entries_.erase(position);
}

} // namespace camphorlug::caller
