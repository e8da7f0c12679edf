#pragma once

#include "camphorlug/gateway/target_notice.h"
#include "camphorlug/net/header_list.h"

namespace camphorlug::gateway {

/// Decoded status and headers of a target's response.
struct target_response {
  int status = 0;
  /// Headers that are forwarded to the caller unchanged.
  net::header_list forwarded_headers;
  /// The target states that it did not execute the request and never will.
  bool not_run = false;
  /// Callers take the status for such a statement, whether or not the target has made it.
  bool reads_as_not_run = false;
  /// Another instance now uses the address.
  bool wrong_instance = false;
  /// The response belongs to this request and has all required headers.
  bool valid = false;
  /// Of the target itself, unless `wrong_instance` is set.
  target_notice notice;
  bool success() const { return status >= 200 && status < 300; }
};

} // namespace camphorlug::gateway
