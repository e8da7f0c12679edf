#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/support/clock.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::caller {

/// The addresses that a caller was told to use, kept for as long as it may.
class entry_cache {
public:
  /// `known` are addresses to ask first, before any answer came.
  entry_cache(net::http_client& client, support::clock& time, std::vector<std::string> known,
              std::string data_centre);

  /// The address to use now, or nothing when no node answers.
  support::task<std::optional<std::string>> address();

  /// Goes on to another address, because this one failed.
  void avoid(const std::string& address);

private:
  support::task<bool> ask(std::string address);

  net::http_client& client_;
  support::clock& time_;
  std::vector<std::string> seed_addresses_;
  std::string data_centre_;
  std::vector<std::string> entries_;
  support::clock::time_point valid_until_;
};

} // namespace camphorlug::caller
