#pragma once

#include "camphorlug/documents/model_spec.h"
#include "camphorlug/documents/organisation.h"
#include "camphorlug/documents/request_class.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::documents {

/// The configuration of one service, as written by its operators.
struct service_document {
  std::string service;
  /// The pool of instances that serves it.
  std::string pool;
  /// Set for model services, empty for plain services.
  std::optional<model_spec> model;

  /// Data centres that may receive traffic, nearest first; empty for all.
  std::vector<std::string> data_centres;
  /// Path prefixes of requests that must run at most once.
  std::vector<std::string> non_idempotent_paths;
  /// Status codes with which a target reports that it did not run the request.
  std::vector<int> not_run_statuses;
  /// Whether targets echo the attempt id, which detects responses that belong to
  /// another request.
  bool echoes_attempt_id = true;

  /// Maximum time to the first byte of a response. Does not apply to a model's response that is
  /// not streamed, which begins only when the whole generation is complete.
  std::chrono::milliseconds first_byte_limit{5000};
  /// Maximum time that one read of a response may take.
  std::chrono::milliseconds stall_limit{2000};
  /// Time to first token above which a target counts as overloaded.
  std::chrono::milliseconds first_token_target{660};
  /// Maximum number of queued requests at one node.
  std::size_t queue_limit = 500;
  /// Maximum number of requests in flight from one node to one target.
  std::size_t max_window = 64;

  std::vector<request_class> classes;
  std::vector<organisation> organisations;

  /// Returns the class with `name`, or null.
  const request_class* find_class(const std::string& name) const;

  /// Returns the organisation that owns the key with `hash`, or null.
  const organisation* find_by_key_hash(const std::string& hash) const;

  /// Whether requests to `path` must run at most once.
  bool is_non_idempotent(const std::string& path) const;

  /// Whether `data_centre` may receive traffic.
  bool allows_data_centre(const std::string& data_centre) const;
};

} // namespace camphorlug::documents
