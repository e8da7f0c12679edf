#pragma once

#include "camphorlug/net/response_writer.h"
#include "camphorlug/support/clock.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace camphorlug::fakes {

/// A response writer that records the response a node sends.
class recording_writer final : public net::response_writer {
public:
  void send(int status, net::header_list headers, std::string body) override;
  void start(int status, net::header_list headers) override;
  support::task<bool> write(std::string piece) override;
  void finish() override {
    finished = true;
    disconnect_action_ = nullptr;
  }
  support::task<bool> written() override;
  void abort() override {
    aborted = true;
    disconnect_action_ = nullptr;
  }
  void on_disconnect(std::function<void()> action) override {
    disconnect_action_ = std::move(action);
  }

  /// Simulates the caller closing its connection.
  void disconnect() {
    if (const auto action = std::exchange(disconnect_action_, nullptr))
      action();
  }
  bool started() const override { return status != 0; }

  /// Concatenates the generated text of all streamed events.
  std::string text() const;
  /// Returns the id of the last streamed event that has one.
  std::string last_id() const;

  int status = 0;
  net::header_list headers;
  std::string body;
  bool finished = false;
  /// The connection was reset before the response was complete.
  bool aborted = false;
  /// Number of pieces after which writes fail because the caller has disconnected.
  std::size_t pieces_until_disconnect = 1'000'000;
  /// Awaited, if set, before each piece of a stream and before the end of the response counts as
  /// written: the time that a slow caller needs, or an exception.
  std::function<support::task<>()> reading;

private:
  std::size_t pieces_ = 0;
  std::function<void()> disconnect_action_;
};

} // namespace camphorlug::fakes
