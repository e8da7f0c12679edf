#include "fakes/scripted_client.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/notification.h"

namespace camphorlug::fakes {

using net::request_progress;
using net::transport_error;

namespace {

class scripted_exchange final : public net::http_exchange {
public:
  scripted_exchange(support::clock& time, scripted_answer answer, std::size_t& aborted_exchanges)
      : time_(time), answer_(std::move(answer)), aborted_exchanges_(aborted_exchanges),
        cancelled_(time), pause_(answer_.pause.value_or(answer_.delay)) {}

  ~scripted_exchange() override { aborted_exchanges_ += ended_ ? 0 : 1; }

  support::task<net::response_head> head(std::chrono::nanoseconds timeout) override {
    if (answer_.refused) {
      ended_ = true;
      throw transport_error(request_progress::not_sent, false, "refused");
    }
    if (answer_.pieces.empty() && answer_.end != answer_ending::complete)
      co_await fail(timeout);
    co_await pass(std::min<std::chrono::nanoseconds>(answer_.delay, timeout));
    if (answer_.delay > timeout) {
      // A caller that keeps waiting after the timeout waits only for the remaining delay.
      answer_.delay -= std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
      throw transport_error(request_progress::may_have_been_read, true, "late");
    }
    answer_.delay = pause_;
    net::response_head head;
    head.status = answer_.status;
    head.headers = answer_.headers;
    co_return head;
  }

  support::task<std::optional<std::string>> read(std::chrono::nanoseconds timeout) override {
    if (next_ == answer_.pieces.size()) {
      if (answer_.end != answer_ending::complete)
        co_await fail(timeout);
      ended_ = true;
      co_return std::nullopt;
    }
    if (const auto silence = answer_.silences.find(next_); silence != answer_.silences.end()) {
      co_await pass(std::min<std::chrono::nanoseconds>(silence->second, timeout));
      if (silence->second > timeout) {
        silence->second -= std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
        throw transport_error(request_progress::may_have_been_read, true, "late");
      }
      answer_.silences.erase(silence);
    }
    co_await pass(answer_.delay);
    co_return answer_.pieces[next_++];
  }

  void cancel() override {
    is_cancelled_ = true;
    cancelled_.notify();
  }

private:
  support::task<> pass(std::chrono::nanoseconds span) {
    if (!is_cancelled_)
      co_await cancelled_.wait_for(span);
    if (is_cancelled_)
      throw transport_error(request_progress::may_have_been_read, false, "cancelled");
  }

  support::task<> fail(std::chrono::nanoseconds timeout) {
    if (answer_.end == answer_ending::reset)
      throw transport_error(request_progress::may_have_been_read, false, "reset");
    co_await pass(timeout);
    throw transport_error(request_progress::may_have_been_read, true, "silence");
  }

  support::clock& time_;
  scripted_answer answer_;
  std::size_t& aborted_exchanges_;
  support::notification cancelled_;
  std::chrono::milliseconds pause_;
  std::size_t next_ = 0;
  bool is_cancelled_ = false;
  bool ended_ = false;
};

} // namespace

std::unique_ptr<net::http_exchange> scripted_client::open(net::client_request request) {
  auto& script = answers[request.address];
  scripted_answer answer;
  answer.refused = true;
  if (!script.empty()) {
    answer = std::move(script.front());
    script.pop_front();
  }
  if (!answer.refused)
    received.push_back(std::move(request));
  return std::make_unique<scripted_exchange>(time_, std::move(answer), aborted_exchanges);
}

} // namespace camphorlug::fakes
