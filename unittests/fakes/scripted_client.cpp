#include "fakes/scripted_client.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/notification.h"

namespace camphorlug::fakes {

using net::request_progress;
using net::transport_error;

namespace {

class scripted_exchange final : public net::http_exchange {
public:
  scripted_exchange(scripted_client& client, support::clock& time, net::client_request request,
                    scripted_answer answer)
      : client_(client), time_(time), request_(std::move(request)), answer_(std::move(answer)),
        cancelled_(time), pause_(answer_.pause.value_or(answer_.delay)) {
    if (!answer_.refused && answer_.connect_delay == std::chrono::milliseconds(0))
      send();
  }

  ~scripted_exchange() override { client_.aborted_exchanges += ended_ ? 0 : 1; }

  support::task<net::response_head> head(std::chrono::nanoseconds timeout) override {
    if (answer_.refused) {
      ended_ = true;
      throw transport_error(request_progress::not_sent, false, "refused");
    }
    if (answer_.connect_delay > std::chrono::milliseconds(0)) {
      co_await pass(answer_.connect_delay);
      send();
    }
    if (!is_sent_) {
      ended_ = true;
      throw transport_error(request_progress::not_sent, false, "withheld");
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
    head.framing = answer_.framing;
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
  void send() {
    is_sent_ = !request_.send_if || request_.send_if();
    if (is_sent_)
      client_.received.push_back(request_);
  }

  support::task<> pass(std::chrono::nanoseconds span) {
    if (!is_cancelled_)
      co_await cancelled_.wait_for(span);
    if (is_cancelled_)
      throw transport_error(request_progress::may_have_been_read, false, "cancelled");
  }

  support::task<> fail(std::chrono::nanoseconds timeout) {
    if (answer_.end == answer_ending::reset)
      throw transport_error(request_progress::may_have_been_read, false, "reset");
    if (answer_.end == answer_ending::unreadable)
      throw transport_error::unreadable_response("unreadable");
    co_await pass(timeout);
    throw transport_error(request_progress::may_have_been_read, true, "silence");
  }

  scripted_client& client_;
  support::clock& time_;
  net::client_request request_;
  scripted_answer answer_;
  bool is_sent_ = false;
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
  return std::make_unique<scripted_exchange>(*this, time_, std::move(request), std::move(answer));
}

} // namespace camphorlug::fakes
