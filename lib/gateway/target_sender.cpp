#include "camphorlug/gateway/target_sender.h"

#include "camphorlug/gateway/relay_path.h"
#include "camphorlug/net/transport_error.h"

#include <algorithm>
#include <utility>

namespace camphorlug::gateway {

using net::request_progress;
using net::transport_error;
using std::chrono::nanoseconds;

/// A relay that takes no request or gets no connection is replaced by another one, as long as this
/// allows it. It answers at once, so that more of these are tried than of relays that are gone.
static constexpr std::size_t max_relays_per_attempt = 4;
static constexpr std::size_t max_gone_relays_per_attempt = 2;
/// A peer that is reachable accepts a connection much sooner.
static constexpr std::chrono::milliseconds relay_connect_timeout{250};
/// A connection that breaks sooner was reset on the way rather than by a target that ran the
/// request.
static constexpr std::chrono::milliseconds early_failure_limit{20};

std::optional<std::string> target_sender::choose_relay(const std::set<std::string>& tried,
                                                       const home_regions& homes) {
  std::vector<relay_node> relays = relays_();
  std::erase_if(relays, [&](const relay_node& each) {
    return tried.contains(each.peer_address) || !homes.allows_region(each.region);
  });
  double sum = 0;
  for (const relay_node& each : relays)
    sum += each.weight;
  double pick = random_.uniform_real() * sum;
  for (const relay_node& each : relays) {
    pick -= each.weight;
    if (pick < 0)
      return each.peer_address;
  }
  return relays.empty() ? std::nullopt : std::optional(relays.back().peer_address);
}

std::unique_ptr<target_sender::exchange> target_sender::open(const std::string& service,
                                                             const chosen_target& target,
                                                             net::client_request request,
                                                             home_regions homes) {
  return std::make_unique<exchange>(*this, service, target, std::move(request), std::move(homes));
}

target_sender::exchange::exchange(target_sender& sender, std::string service, chosen_target target,
                                  net::client_request request, home_regions homes)
    : sender_(sender), service_(std::move(service)), target_(std::move(target)),
      request_(std::move(request)), homes_(std::move(homes)) {
  if (!sender_.paths_.has_lost(service_) || !sender_.has_relay(homes_))
    open_direct();
}

std::function<bool()> target_sender::exchange::make_send_condition() {
  return [this] {
    withheld_ = request_.send_if && !request_.send_if();
    return !withheld_;
  };
}

void target_sender::exchange::open_direct() {
  net::client_request direct = request_;
  direct.send_if = make_send_condition();
  opened_at_ = sender_.time_.now();
  wait_.emplace(sender_.paths_, service_, target_.id, [this] { abandon(); });
  current_ = sender_.client_.open(std::move(direct));
}

void target_sender::exchange::open_relayed(const std::string& peer, nanoseconds timeout) {
  net::client_request relayed = request_;
  relayed.send_if = make_send_condition();
  relayed.method = "POST";
  relayed.address = peer;
  const auto time_left = std::chrono::ceil<std::chrono::milliseconds>(timeout);
  relayed.target = to_relay_path({{target_.id, target_.started_at_ms},
                                  request_.address,
                                  request_.method,
                                  request_.connection,
                                  time_left,
                                  request_.target});
  relayed.connect_timeout = relay_connect_timeout;
  relayed.accept_head = [accepts = request_.accept_head](const net::response_head& head) {
    return !accepts || head.headers.find(relay_failure_header) || accepts(head);
  };
  current_ = sender_.client_.open(std::move(relayed));
}

/// A request that may run once is kept: its response may still arrive after the loss.
void target_sender::exchange::abandon() {
  if (request_.connection == net::connection_use::fresh)
    return;
  abandoned_ = true;
  current_->cancel();
}

void target_sender::exchange::cancel() {
  cancelled_ = true;
  if (current_)
    current_->cancel();
}

support::task<> target_sender::exchange::wait_for_head(nanoseconds timeout) {
  failure_.reset();
  try {
    head_ = co_await current_->head(timeout);
  } catch (const transport_error& error) {
    failure_ = error;
  }
}

/// A refused connection costs no time, so another node may try at once. One that is not answered
/// is relayed only if other targets show that this node is the cause.
bool target_sender::exchange::may_relay(const transport_error& failure) {
  return failure.progress() == request_progress::not_sent && !withheld_ && !cancelled_ &&
         (!failure.timed_out() || sender_.paths_.has_lost(service_)) && sender_.has_relay(homes_);
}

support::task<net::response_head> target_sender::exchange::head(nanoseconds timeout) {
  const auto until = sender_.time_.now() + timeout;
  if (current_) {
    co_await wait_for_head(timeout);
    if (head_ || failure_->unreadable())
      wait_->record_answer();
    if (head_)
      co_return *head_;
    wait_.reset();
    if (abandoned_)
      failure_.emplace(request_progress::may_have_been_read, true, "this node reaches no target");
    else if (!withheld_ && !cancelled_ && !failure_->unreadable() && !failure_is_late())
      sender_.paths_.record_failure(service_, target_.id);
    failed_on_lost_path_ = abandoned_ || (sender_.paths_.has_lost(service_) && !failure_is_late());
    if (!may_relay(*failure_))
      throw transport_error(*failure_);
  }
  const bool starts_relayed = !current_;
  const relay_result result = co_await relay(until - sender_.time_.now());
  if (result == relay_result::try_another && starts_relayed && !cancelled_) {
    // No other node serves in place of this one, so the targets may be the cause after all.
    open_direct();
    co_await wait_for_head(until - sender_.time_.now());
    if (head_)
      wait_->record_answer();
    else
      wait_.reset();
    failed_on_lost_path_ = abandoned_;
  }
  if (!head_)
    throw transport_error(*failure_);
  failed_on_lost_path_ = false;
  co_return *head_;
}

/// Whether the target had time to answer: it may be slow, or have crashed under the request.
bool target_sender::exchange::failure_is_late() const {
  return failure_->progress() == request_progress::may_have_been_read &&
         (failure_->timed_out() || sender_.time_.now() - opened_at_ >= early_failure_limit);
}

support::task<target_sender::exchange::relay_result>
target_sender::exchange::relay(nanoseconds timeout) {
  const auto until = sender_.time_.now() + timeout;
  if (!failure_)
    failure_.emplace(request_progress::not_sent, false, "no node relays the request");
  std::set<std::string> tried;
  std::size_t gone = 0;
  auto result = relay_result::try_another;
  while ((result == relay_result::try_another || result == relay_result::no_connection) &&
         tried.size() < max_relays_per_attempt && gone < max_gone_relays_per_attempt) {
    const nanoseconds left = until - sender_.time_.now();
    const std::optional<std::string> peer = sender_.choose_relay(tried, homes_);
    if (!peer || cancelled_ || left <= nanoseconds(0))
      break;
    tried.insert(*peer);
    open_relayed(*peer, left);
    co_await wait_for_head(left);
    if (head_)
      result = relay_result_of_head();
    else if (failure_->progress() != request_progress::not_sent || withheld_)
      result = relay_result::failed;
    else
      ++gone;
  }
  co_return result;
}

void target_sender::exchange::accept_relayed_head() {
  relay_confirms_end_ = head_->headers.find(relay_confirms_end_header).has_value();
  net::header_list headers;
  for (const net::header& each : head_->headers) {
    if (!net::same_header_name(each.name, relay_confirms_end_header))
      headers.add(each.name, each.value);
  }
  head_->headers = std::move(headers);
}

/// Turns a response by which the relay reports a failure into that failure.
target_sender::exchange::relay_result target_sender::exchange::relay_result_of_head() {
  const std::optional<std::string> reported = head_->headers.find(relay_failure_header);
  if (!reported) {
    accept_relayed_head();
    return relay_result::answered;
  }
  const bool unreadable = head_->headers.find(relay_unreadable_header).has_value();
  head_.reset();
  const bool not_sent = *reported != relay_failure_unknown;
  failure_.emplace(not_sent ? request_progress::not_sent : request_progress::may_have_been_read,
                   false, "the relay reports " + *reported);
  if (!not_sent && unreadable)
    failure_.emplace(transport_error::unreadable_response("unreadable response at the relay"));
  // The target itself is not reached from elsewhere either.
  failed_on_lost_path_ = *reported == relay_failure_busy;
  if (*reported == relay_failure_no_connection)
    return relay_result::no_connection;
  return *reported == relay_failure_busy ? relay_result::try_another : relay_result::failed;
}

support::task<std::optional<std::string>> target_sender::exchange::read(nanoseconds timeout) {
  std::optional<std::string> piece;
  try {
    piece = co_await current_->read(timeout);
  } catch (const transport_error&) {
    if (!abandoned_)
      throw;
    failed_on_lost_path_ = true;
  }
  if (failed_on_lost_path_)
    throw transport_error(request_progress::may_have_been_read, true,
                          "this node reaches no target");
  if (wait_)
    wait_->record_answer();
  co_return piece;
}

} // namespace camphorlug::gateway
