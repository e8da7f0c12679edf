#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/support/clock.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::caller {

/// Caches the entry addresses that a node returned until their validity period ends.
class entry_cache {
public:
  /// `seed_addresses` are queried while no fetched entries are cached, and as a fallback
  /// when no cached entry responds.
  entry_cache(net::http_client& client, support::clock& time,
              std::vector<std::string> seed_addresses, std::string data_centre);

  /// Returns the address to use now, or nullopt if no node responds.
  support::task<std::optional<std::string>> address();

  /// Drops an address that failed, so that the next cached one is used.
  void remove(const std::string& address);

private:
  support::task<bool> fetch_entries(std::string address);

  net::http_client& client_;
  support::clock& time_;
  std::vector<std::string> seed_addresses_;
  std::string data_centre_;
  std::vector<std::string> entries_;
  support::clock::time_point valid_until_;
};

} // namespace camphorlug::caller
