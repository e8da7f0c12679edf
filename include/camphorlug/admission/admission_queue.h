#pragma once

#include "camphorlug/admission/admission_request.h"
#include "camphorlug/admission/admission_result.h"
#include "camphorlug/documents/service_document.h"
#include "camphorlug/support/task.h"

#include <cstddef>

namespace camphorlug::admission {

/// Admission control for one service: decides which requests are sent, and when.
class admission_queue {
public:
  admission_queue() = default;
  admission_queue(const admission_queue&) = delete;
  admission_queue& operator=(const admission_queue&) = delete;
  virtual ~admission_queue() = default;

  /// Applies the weights and limits of a service document that came into force.
  virtual void configure(const documents::service_document& document) = 0;

  /// Waits until the request is granted, is evicted, or reaches its deadline.
  /// Refuses it at once if the queue has no room for it or the expected wait ends
  /// after its deadline. Every grant requires exactly one call of `finish`.
  virtual support::task<admission_result> enter(admission_request request) = 0;

  /// Ends a granted request. `actual_cost` replaces the estimate in `request.cost`.
  virtual void finish(const admission_request& request, double actual_cost) = 0;

  /// Grants waiting requests as far as free slots allow. Call it after targets
  /// were added or concurrency windows grew.
  virtual void dispatch_waiting() = 0;

  /// Number of waiting requests.
  virtual std::size_t waiting() const = 0;
};

} // namespace camphorlug::admission
