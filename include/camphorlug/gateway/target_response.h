#pragma once

#include "camphorlug/net/header_list.h"

namespace camphorlug::gateway {

/// What the head of a target's answer means.
struct target_response {
  int status = 0;
  /// Headers that go on to the caller unchanged.
  net::header_list forwarded_headers;
  /// The target states that it did not run the request and never will.
  bool not_run = false;
  /// Another instance has the address.
  bool wrong_instance = false;
  /// It answers this very request and carries what an answer must.
  bool matches_request = false;
  bool success() const { return status >= 200 && status < 300; }
};

} // namespace camphorlug::gateway
