#pragma once

#include "camphorlug/documents/document_view.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/requests/call.h"
#include "camphorlug/support/clock.h"

#include <string>

namespace camphorlug::requests {

/// Parses a caller's request and validates it against its service's document.
class call_parser {
public:
  call_parser(const documents::document_view& documents, support::clock& time,
              std::string stream_key);

  /// Throws caller_error if the request is invalid.
  call parse(net::server_request request) const;

private:
  void authenticate(call& parsed) const;
  void read_class(call& parsed) const;
  void read_deadline(call& parsed) const;
  void read_idempotency(call& parsed) const;
  void read_model_body(call& parsed) const;
  void read_position(call& parsed) const;

  const documents::document_view& documents_;
  support::clock& time_;
  std::string stream_key_;
};

} // namespace camphorlug::requests
