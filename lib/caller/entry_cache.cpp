#include "camphorlug/caller/entry_cache.h"

#include "camphorlug/net/transport_error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::caller {

static constexpr std::chrono::milliseconds fetch_timeout{1000};

entry_cache::entry_cache(net::http_client& client, support::clock& time,
                         std::vector<std::string> known, std::string data_centre)
    : client_(client), time_(time), seed_addresses_(std::move(known)),
      data_centre_(std::move(data_centre)) {}

support::task<std::optional<std::string>> entry_cache::address() {
  if (!entries_.empty() && time_.now() < valid_until_)
    co_return entries_.front();
  std::vector<std::string> asked = entries_;
  asked.insert(asked.end(), seed_addresses_.begin(), seed_addresses_.end());
  for (const std::string& address : asked) {
    const bool answered = co_await ask(address);
    if (answered)
      co_return entries_.front();
  }
  co_return std::nullopt;
}

support::task<bool> entry_cache::ask(std::string address) {
  net::client_request request;
  request.address = std::move(address);
  request.target = "/v1/entries";
  if (!data_centre_.empty())
    request.target += "?data_centre=" + data_centre_;
  const auto asked_at = time_.now();
  try {
    const net::client_response response = co_await client_.fetch(std::move(request), fetch_timeout);
    const auto answer = nlohmann::json::parse(response.body);
    std::vector<std::string> entries;
    for (const auto& each : answer.at("entries"))
      entries.push_back(each.at("address"));
    if (entries.empty())
      co_return false;
    entries_ = std::move(entries);
    valid_until_ = asked_at + std::chrono::milliseconds(answer.at("valid_for_ms"));
    co_return true;
  } catch (const net::transport_error&) {
    co_return false;
  } catch (const nlohmann::json::exception&) {
    co_return false;
  }
}

void entry_cache::avoid(const std::string& address) {
  const auto place = std::find(entries_.begin(), entries_.end(), address);
  if (place != entries_.end())
    entries_.erase(place);
}

} // namespace camphorlug::caller
