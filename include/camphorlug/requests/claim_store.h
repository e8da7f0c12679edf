#pragma once

#include "camphorlug/table/table_store.h"

#include <optional>
#include <string>

namespace camphorlug::requests {

/// Where a non-idempotent request with a key stands.
enum class claim_state {
  /// This attempt owns the key and may run.
  owned,
  /// An earlier arrival owns it and its end is not recorded.
  running,
  /// An earlier arrival's answer is recorded.
  answered,
  /// An earlier arrival ended without a known outcome.
  unknown,
  /// The key was used for a request with another content.
  mismatch,
  /// The table service was not reached; nothing was claimed.
  unavailable,
};

/// The recorded answer of a claimed request.
struct recorded_response {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// The answer to a claim.
struct claim_result {
  claim_state state = claim_state::unavailable;
  recorded_response answer;
};

/// One request's claim on its idempotency key.
struct claim {
  std::string organisation;
  std::string service;
  std::string idempotency_key;
  /// Hash of path and body.
  std::string content_hash;
  std::string attempt;
};

/// Idempotency keys in the table service: whoever inserts the row first may
/// run the request, once.
class claim_store {
public:
  explicit claim_store(table::table_store& store);

  support::task<claim_result> acquire(claim wanted);

  /// Records the answer. Failing to do so leaves the claim without a known end.
  support::task<> record_response(claim held, recorded_response answer);

  /// Gives a claim back whose request certainly did not run.
  support::task<> release(claim held);

private:
  support::task<claim_result> insert(claim wanted);
  support::task<claim_result> read_back(claim wanted);
  support::task<> update_owned(claim held, std::optional<std::string> value);

  table::table_store& store_;
};

} // namespace camphorlug::requests
