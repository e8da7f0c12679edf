#pragma once

#include "camphorlug/admission/admission_request.h"
#include "camphorlug/documents/document_view.h"
#include "camphorlug/groups/group_view.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/requests/request_observer.h"
#include "camphorlug/requests/stream_token.h"
#include "camphorlug/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::requests {

/// One caller's request on its way through a node.
struct call {
  /// Names the request in logs and towards its caller.
  std::string id;
  net::server_request request;
  /// Path below `/services/{service}`.
  std::string path;
  std::shared_ptr<const documents::active_document> in_force;
  request_labels labels;
  int priority = 0;
  std::string idempotency_key;
  bool idempotent = true;
  /// A model's generation, which is relayed event by event; anything else is
  /// forwarded as a whole.
  bool relayed = false;
  bool wants_stream = false;
  /// The chat form of a generation, not the plain one.
  bool chat = false;
  support::clock::time_point began;
  support::clock::time_point deadline;
  std::uint64_t affinity = 0;
  admission::admission_request admission;
  /// Where the caller's stream broke off.
  std::optional<stream_position> resume_after;
  /// Ids of targets that were tried.
  std::vector<std::string> tried;
  /// An attempt may have run although no answer came.
  bool may_have_run = false;
  std::size_t attempts = 0;
  /// Tokens that were sent to the caller.
  std::size_t tokens = 0;

  const documents::service_document& document() const { return in_force->document; }
};

} // namespace camphorlug::requests
