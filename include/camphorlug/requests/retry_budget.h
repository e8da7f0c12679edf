#pragma once

namespace camphorlug::requests {

/// Retries that a service may still send: a tenth of its requests, so that
/// retries cannot multiply the load when everything fails.
class retry_budget {
public:
  /// Notes a new request.
  void on_request();

  /// Takes one retry; false when there is none left.
  bool try_consume();

private:
  double tokens_ = 3;
};

} // namespace camphorlug::requests
