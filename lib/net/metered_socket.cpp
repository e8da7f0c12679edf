#include "metered_socket.h"

#include "camphorlug/support/log.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <cctype>
#include <charconv>

namespace camphorlug::net {

/// Returns the value that follows `name`, a lower-case text, in a head; empty if there is none.
static std::string_view find_value(std::string_view head, std::string_view name) {
  const auto same = [](char left, char right) {
    return std::tolower(static_cast<unsigned char>(left)) == right;
  };
  const auto found = std::search(head.begin(), head.end(), name.begin(), name.end(), same);
  if (found == head.end())
    return {};
  std::string_view value =
      head.substr(static_cast<std::size_t>(found - head.begin()) + name.size());
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  return value.substr(0, value.find_first_of("\r\n"));
}

/// Returns the length of the body that a head announces, or 0.
static std::size_t find_content_length(std::string_view head) {
  const std::string_view value = find_value(head, "\ncontent-length:");
  std::size_t length = 0;
  std::from_chars(value.data(), value.data() + value.size(), length);
  return length;
}

bool receive_meter::try_reserve(std::size_t next_read) {
  const std::size_t needed = std::max(announced, received + next_read);
  if (needed <= memory.bytes() || received + next_read <= free_bytes)
    return true;
  return memory.try_add(needed - memory.bytes());
}

void receive_meter::record(std::string_view bytes) {
  const bool is_in_head = received < free_bytes;
  received += bytes.size();
  if (is_in_head && announced == 0) {
    const std::size_t body = find_content_length(bytes);
    announced = body == 0 ? 0 : body + received;
  }
  if (is_in_head && request_id.empty() && !id_text.empty())
    request_id = find_value(bytes, id_text);
  if (received > memory.bytes())
    memory.add(received - memory.bytes());
}

support::memory_budget::charge receive_meter::take() {
  has_received_request = true;
  received = 0;
  announced = 0;
  request_id.clear();
  return std::exchange(memory, support::memory_budget::charge(limit, peer));
}

void receive_meters::set_budget(support::memory_budget* budget, const std::string& id_header) {
  budget_ = budget;
  id_text_.clear();
  if (id_header.empty())
    return;
  id_text_ = "\n" + id_header + ":";
  std::transform(id_text_.begin(), id_text_.end(), id_text_.begin(),
                 [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
}

std::vector<std::shared_ptr<const receive_meter>> receive_meters::incomplete() const {
  std::vector<std::shared_ptr<const receive_meter>> found;
  for (const auto& each : meters_) {
    const auto meter = each.lock();
    if (meter && meter->received > 0)
      found.push_back(meter);
  }
  return found;
}

std::shared_ptr<receive_meter> receive_meters::open(const asio::ip::tcp::endpoint& peer) {
  if (!budget_)
    return nullptr;
  const auto opened =
      std::make_shared<receive_meter>(*budget_, peer.address().to_string(), id_text_);
  if (++opened_ % clean_up_interval == 0)
    std::erase_if(meters_, [](const auto& each) { return each.expired(); });
  meters_.push_back(opened);
  return opened;
}

void receive_meters::evict_stalled() {
  const auto now = std::chrono::steady_clock::now();
  if (now < next_eviction_at_)
    return;
  next_eviction_at_ = now + eviction_interval;
  std::shared_ptr<receive_meter> longest;
  for (const auto& each : meters_) {
    const auto meter = each.lock();
    if (meter && meter->reading && meter->memory.bytes() > receive_meter::free_bytes &&
        now - meter->last_read_at >= max_stall &&
        (!longest || meter->last_read_at < longest->last_read_at))
      longest = meter;
  }
  if (longest)
    longest->reading->evict();
}

receive_meters& metered_socket::meters() {
  return asio::use_service<receive_meters>(asio::query(get_executor(), asio::execution::context));
}

void metered_socket::evict() {
  refuse();
  meter_->was_evicted = true;
  asio::error_code ignored;
  cancel(ignored);
}

void metered_socket::refuse() {
  support::log_event(support::log_level::warning, "request_not_read",
                     {{"peer", meter_->peer},
                      {"received", std::to_string(meter_->received)},
                      {"announced", std::to_string(meter_->announced)}});
  // A response to an earlier request may not be complete.
  if (!meter_->has_received_request)
    write_refusal(*this);
}

void metered_socket::write_refusal(asio::ip::tcp::socket& socket) {
  static constexpr std::string_view refusal = "HTTP/1.1 503 Request Refused\r\nRetry-After: 1\r\n"
                                              "Connection: close\r\nContent-Length: 0\r\n\r\n";
  asio::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.write_some(asio::buffer(refusal.data(), refusal.size()), ignored);
}

} // namespace camphorlug::net
