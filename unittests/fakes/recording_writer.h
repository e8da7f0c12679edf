#pragma once

#include "camphorlug/net/response_writer.h"
#include "camphorlug/support/clock.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace camphorlug::fakes {

/// Keeps the answer that a node gives.
class recording_writer final : public net::response_writer {
public:
  void send(int status, net::header_list headers, std::string body) override;
  void start(int status, net::header_list headers) override;
  support::task<bool> write(std::string piece) override;
  void finish() override {
    finished = true;
    disconnect_action_ = nullptr;
  }
  void abort() override {
    aborted = true;
    disconnect_action_ = nullptr;
  }
  void on_gone(std::function<void()> action) override { disconnect_action_ = std::move(action); }

  /// The caller closes its connection.
  void disconnect() {
    if (const auto action = std::exchange(disconnect_action_, nullptr))
      action();
  }
  bool started() const override { return status != 0; }

  /// The text of the streamed events, and the id of the last one.
  std::string text() const;
  std::string last_id() const;

  int status = 0;
  net::header_list headers;
  std::string body;
  bool finished = false;
  /// The connection was reset before the answer was whole.
  bool aborted = false;
  /// Pieces after which the caller is gone.
  std::size_t pieces_until_disconnect = 1'000'000;

private:
  std::size_t pieces_ = 0;
  std::function<void()> disconnect_action_;
};

} // namespace camphorlug::fakes
