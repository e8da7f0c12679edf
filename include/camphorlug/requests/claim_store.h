#pragma once

#include "camphorlug/table/table_store.h"

#include <optional>
#include <string>

namespace camphorlug::requests {

/// State of a claim on an idempotency key, as seen by the attempt that asks for it.
/// Only non-idempotent requests with a key are claimed.
enum class claim_state {
  /// This attempt owns the key and may run.
  owned,
  /// An earlier request owns the key and its outcome is not recorded.
  running,
  /// The response to an earlier request is recorded.
  answered,
  /// An earlier request ended without a known outcome.
  unknown,
  /// The key was used for a request with different content.
  mismatch,
  /// The table service could not be reached; the request must not be sent.
  unavailable,
};

/// The recorded response to a claimed request.
struct recorded_response {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Result of claiming an idempotency key.
struct claim_result {
  claim_state state = claim_state::unavailable;
  recorded_response response;
};

/// The claim of one request on its idempotency key.
struct claim {
  std::string organisation;
  std::string service;
  std::string idempotency_key;
  /// Hash of path and body.
  std::string content_hash;
  std::string attempt;
};

/// Stores claims on idempotency keys in the table service. The attempt that
/// inserts the row first may run the request, once.
class claim_store {
public:
  explicit claim_store(table::table_store& store);

  support::task<claim_result> acquire(claim wanted);

  /// Records the response, or `unknown` if there is none or it is too large to
  /// record. If that fails, the claim stays without a recorded outcome.
  support::task<> record_response(claim held, recorded_response response);

  /// Releases the claim of a request that certainly did not run.
  support::task<> release(claim held);

private:
  support::task<claim_result> insert(claim wanted);
  support::task<claim_result> read_back(claim wanted);
  support::task<> update_owned(claim held, std::optional<std::string> value);

  table::table_store& store_;
};

} // namespace camphorlug::requests
