#pragma once

#include "camphorlug/admission/admission_request.h"
#include "camphorlug/documents/document_view.h"
#include "camphorlug/groups/group_view.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/requests/request_observer.h"
#include "camphorlug/requests/stream_position.h"
#include "camphorlug/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::requests {

/// State of one caller's request while this node handles it.
struct call {
  /// Identifies the request in logs.
  std::string id;
  net::server_request request;
  /// Path below `/services/{service}`.
  std::string path;
  std::shared_ptr<const documents::active_document> in_force;
  request_labels labels;
  int priority = 0;
  std::string idempotency_key;
  bool idempotent = true;
  /// The request is a generation that is relayed event by event; any other
  /// request is forwarded as a whole.
  bool relayed = false;
  bool wants_stream = false;
  /// The generation is a chat completion rather than a plain completion.
  bool chat = false;
  support::clock::time_point began;
  support::clock::time_point deadline;
  std::uint64_t affinity = 0;
  admission::admission_request admission;
  /// Last event that the caller received of an interrupted stream.
  std::optional<stream_position> resume_after;
  /// Ids of the targets that were tried.
  std::vector<std::string> tried;
  /// An attempt may have run although no response arrived.
  bool may_have_run = false;
  std::size_t attempts = 0;
  /// Number of tokens that were sent to the caller.
  std::size_t tokens = 0;

  const documents::service_document& document() const { return in_force->document; }
};

} // namespace camphorlug::requests
