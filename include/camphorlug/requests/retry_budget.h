#pragma once

namespace camphorlug::requests {

/// Limits the retries of a service to a tenth of its requests, so that retries
/// cannot multiply the load when all targets fail. Unused retries are saved up to
/// a limit, so short bursts may exceed the tenth.
class retry_budget {
public:
  /// Records a new request.
  void on_request();

  /// Consumes one retry. Returns false if none is left.
  bool try_consume();

private:
  /// Retries that may be sent now (token bucket).
  double available_ = 3;
};

} // namespace camphorlug::requests
