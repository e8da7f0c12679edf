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

/// What one service should be, as its operators wrote it.
struct service_document {
  std::string service;
  /// The pool of instances that serves it.
  std::string pool;
  /// Set for model services, empty for plain ones.
  std::optional<model_spec> model;

  /// Data centres that traffic may go to, nearest first; empty for all.
  std::vector<std::string> data_centres;
  /// Path prefixes whose requests must run at most once.
  std::vector<std::string> non_idempotent_paths;
  /// Statuses by which a target says that it did not run the request.
  std::vector<int> not_run_statuses;
  /// Whether targets echo the attempt id, so that crossed answers are seen.
  bool echoes_attempt_id = true;

  std::chrono::milliseconds first_byte_limit{5000};
  std::chrono::milliseconds stall_limit{2000};
  /// First-token time above which a target counts as overloaded.
  std::chrono::milliseconds first_token_target{660};
  /// Requests that may wait at one node.
  std::size_t queue_limit = 500;
  /// Requests that one node may have at one target.
  std::size_t max_window = 64;

  std::vector<request_class> classes;
  std::vector<organisation> organisations;

  /// The class called `name`, or null.
  const request_class* find_class(const std::string& name) const;

  /// The organisation that a key with this hash belongs to, or null.
  const organisation* find_by_key_hash(const std::string& hash) const;

  /// Whether a request to `path` must run at most once.
  bool is_non_idempotent(const std::string& path) const;

  /// Whether traffic may go to `data_centre`.
  bool allows_data_centre(const std::string& data_centre) const;
};

} // namespace camphorlug::documents
