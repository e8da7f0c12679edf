#pragma once

#include "camphorlug/documents/document_view.h"
#include "camphorlug/requests/claim_store.h"
#include "camphorlug/requests/request_observer.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"
#include "camphorlug/targets/target_client.h"

#include <asio/any_io_executor.hpp>
#include <string>

namespace camphorlug::requests {

/// Dependencies of request handling. The referenced objects must outlive it.
struct request_environment {
  asio::any_io_executor executor;
  support::clock& time;
  support::random_source& random;
  targets::target_client& targets;
  claim_store& claims;
  request_observer& observer;
  /// Key that signs stream positions.
  std::string stream_key;
};

} // namespace camphorlug::requests
