#pragma once

#include "camphorlug/admission/admission_request.h"
#include "camphorlug/admission/admission_result.h"
#include "camphorlug/documents/service_document.h"
#include "camphorlug/support/task.h"

#include <cstddef>

namespace camphorlug::admission {

/// Decides which requests of one service are sent, and when.
class admission_queue {
public:
  admission_queue() = default;
  admission_queue(const admission_queue&) = delete;
  admission_queue& operator=(const admission_queue&) = delete;
  virtual ~admission_queue() = default;

  /// Takes weights and limits from a document that came into force.
  virtual void configure(const documents::service_document& document) = 0;

  /// Waits for the request's turn. A request that cannot be sent in time is
  /// refused at once. After a grant call `finish` once.
  virtual support::task<admission_result> enter(admission_request request) = 0;

  /// Ends a granted request, whose work came to `actual_cost`.
  virtual void finish(const admission_request& request, double actual_cost) = 0;

  /// Grants what can be granted; call it when targets came or windows grew.
  virtual void dispatch_waiting() = 0;

  /// Requests that wait.
  virtual std::size_t waiting() const = 0;
};

} // namespace camphorlug::admission
