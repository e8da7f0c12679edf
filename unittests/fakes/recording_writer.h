#pragma once

#include "camphorlug/net/response_writer.h"
#include "camphorlug/support/clock.h"

#include <string>
#include <vector>

namespace camphorlug::fakes {

/// Keeps the answer that a node gives.
class recording_writer final : public net::response_writer {
public:
  void send(int status, net::header_list headers, std::string body) override;
  void start(int status, net::header_list headers) override;
  support::task<bool> write(std::string piece) override;
  void finish() override { finished = true; }
  bool started() const override { return status != 0; }

  /// The text of the streamed events, and the id of the last one.
  std::string text() const;
  std::string last_id() const;

  int status = 0;
  net::header_list headers;
  std::string body;
  bool finished = false;
  /// Pieces after which the caller is gone.
  std::size_t pieces_until_gone = 1'000'000;

private:
  std::size_t pieces_ = 0;
};

} // namespace camphorlug::fakes
