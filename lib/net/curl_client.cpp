#include "camphorlug/net/curl_client.h"

#include "camphorlug/net/body_framing.h"
#include "camphorlug/net/header_syntax.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/log.h"
#include "camphorlug/support/log_throttle.h"
#include "camphorlug/support/notification.h"

#include <algorithm>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <map>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace camphorlug::net {

/// Reading from the connection pauses when a slow consumer leaves this much of the body
/// unread.
static constexpr std::size_t max_buffered_bytes = 32 * 1024;

/// A connection is closed when sent data stays unacknowledged for this long.
static constexpr std::chrono::milliseconds tcp_user_timeout{5000};

/// Maximum number of idle connections kept for reuse.
static constexpr long max_idle_connections = 500;

/// An idle connection is not reused after this time.
static constexpr long max_idle_seconds = 20;

/// Each server's unreadable responses are logged once in this time, by cause.
static constexpr std::chrono::seconds unreadable_log_interval{60};

/// Returns why libcurl cannot read a response, or nullptr if its result has another cause.
static const char* unreadable_cause(CURLcode result) {
  switch (result) {
  case CURLE_OUT_OF_MEMORY:
    // libcurl bounds the length of a line.
    return "a line of its head is too long";
  case CURLE_WEIRD_SERVER_REPLY:
  case CURLE_UNSUPPORTED_PROTOCOL:
    return "it is not HTTP";
  default:
    return nullptr;
  }
}

/// Runs the sockets and the timer of libcurl's multi interface on an Asio context.
class curl_client::driver : public std::enable_shared_from_this<curl_client::driver> {
public:
  explicit driver(asio::io_context& context)
      : context_(context), timer_(context), multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &driver::on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &driver::on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
  }

  ~driver() { curl_multi_cleanup(multi_); }

  void limit_idle_connections(std::size_t limit) {
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, static_cast<long>(limit));
  }

  void add(CURL* easy) { curl_multi_add_handle(multi_, easy); }
  void remove(CURL* easy) { curl_multi_remove_handle(multi_, easy); }

  void log_unreadable(const client_request& request, const std::string& cause,
                      support::clock::time_point now) {
    const std::optional<std::uint64_t> omitted = unreadable_log_.admit(
        request.address + " " + cause, support::log_throttle::time_point(now.time_since_epoch()));
    if (omitted)
      support::log_event(support::log_level::warning, "response_unreadable",
                         {{"address", request.address},
                          {"path", request.target.substr(0, request.target.find('?'))},
                          {"cause", cause},
                          {"omitted", std::to_string(*omitted)}});
  }

private:
  struct socket_watch {
    explicit socket_watch(asio::io_context& context) : descriptor(context) {}
    asio::posix::stream_descriptor descriptor;
    int poll_events = 0;
    bool read_wait_pending = false;
    bool write_wait_pending = false;
  };

  static int on_socket(CURL*, curl_socket_t socket, int what, void* self, void*) {
    static_cast<driver*>(self)->update_socket(socket, what);
    return 0;
  }

  static int on_timer(CURLM*, long milliseconds, void* self) {
    static_cast<driver*>(self)->set_timer(milliseconds);
    return 0;
  }

  void update_socket(curl_socket_t socket, int what) {
    if (what == CURL_POLL_REMOVE) {
      const auto found = watches_.find(socket);
      if (found == watches_.end())
        return;
      found->second->poll_events = 0;
      found->second->descriptor.release();
      watches_.erase(found);
      return;
    }
    auto& entry = watches_[socket];
    if (!entry) {
      entry = std::make_shared<socket_watch>(context_);
      entry->descriptor.assign(socket);
    }
    entry->poll_events = what;
    start_waits(entry, socket);
  }

  void start_waits(const std::shared_ptr<socket_watch>& entry, curl_socket_t socket) {
    using asio::posix::descriptor_base;
    if ((entry->poll_events & CURL_POLL_IN) != 0 && !entry->read_wait_pending) {
      entry->read_wait_pending = true;
      start_wait(entry, socket, descriptor_base::wait_read, CURL_CSELECT_IN);
    }
    if ((entry->poll_events & CURL_POLL_OUT) != 0 && !entry->write_wait_pending) {
      entry->write_wait_pending = true;
      start_wait(entry, socket, descriptor_base::wait_write, CURL_CSELECT_OUT);
    }
  }

  void start_wait(const std::shared_ptr<socket_watch>& entry, curl_socket_t socket,
                  asio::posix::descriptor_base::wait_type kind, int event) {
    auto ready = [weak = weak_from_this(), entry, socket, event](const asio::error_code& error) {
      (event == CURL_CSELECT_IN ? entry->read_wait_pending : entry->write_wait_pending) = false;
      const auto self = weak.lock();
      if (!self || error)
        return;
      self->run_socket_action(socket, event);
      const auto found = self->watches_.find(socket);
      if (found != self->watches_.end() && found->second == entry)
        self->start_waits(entry, socket);
    };
    entry->descriptor.async_wait(kind, std::move(ready));
  }

  void set_timer(long milliseconds) {
    timer_.cancel();
    if (milliseconds < 0)
      return;
    timer_.expires_after(std::chrono::milliseconds(milliseconds));
    timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (self && !error)
        self->run_socket_action(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  void run_socket_action(curl_socket_t socket, int event) {
    int running = 0;
    curl_multi_socket_action(multi_, socket, event, &running);
    collect_finished();
  }

  void collect_finished();

  asio::io_context& context_;
  asio::steady_timer timer_;
  CURLM* multi_;
  std::map<curl_socket_t, std::shared_ptr<socket_watch>> watches_;
  support::log_throttle unreadable_log_{
      {1 / std::chrono::duration<double>(unreadable_log_interval).count(), 1}};
};

namespace {

class curl_exchange final : public http_exchange {
public:
  curl_exchange(std::shared_ptr<curl_client::driver> driver, support::clock& time,
                client_request request)
      : driver_(std::move(driver)), time_(time), request_(std::move(request)),
        update_notification_(time), easy_(curl_easy_init()) {
    if (!has_valid_headers(request_)) {
      finish(CURLE_URL_MALFORMAT);
      return;
    }
    set_request();
    set_connection();
    set_callbacks();
    driver_->add(easy_);
  }

  ~curl_exchange() override {
    driver_->remove(easy_);
    curl_easy_cleanup(easy_);
    curl_slist_free_all(header_lines_);
  }

  support::task<response_head> head(std::chrono::nanoseconds timeout) override {
    while (!head_complete_)
      co_await wait_for_more(timeout, "no answer within the time limit");
    co_return head_;
  }

  support::task<std::optional<std::string>> read(std::chrono::nanoseconds timeout) override {
    check_duration();
    while (buffer_.empty()) {
      if (finished_ && result_ == CURLE_OK)
        co_return std::nullopt;
      co_await wait_for_more(timeout, "the answer stalled");
    }
    std::string chunk = std::exchange(buffer_, {});
    if (std::exchange(paused_, false))
      curl_easy_pause(easy_, CURLPAUSE_CONT);
    co_return chunk;
  }

  void cancel() override { finish(CURLE_ABORTED_BY_CALLBACK); }

  void finish(CURLcode result) {
    if (finished_)
      return;
    finished_ = true;
    result_ = result;
    if (const char* const cause = unreadable_cause(result))
      give_up(cause);
    update_notification_.notify();
  }

private:
  static bool has_valid_headers(const client_request& request) {
    return std::all_of(request.headers.begin(), request.headers.end(), [](const header& each) {
      return is_token(each.name) && is_field_value(each.value);
    });
  }

  /// Waits until the response goes on or ends. Throws transport_error.
  support::task<> wait_for_more(std::chrono::nanoseconds timeout, const char* timeout_reason) {
    if (finished_)
      throw make_error();
    const bool notified =
        co_await update_notification_.wait_for(std::min(timeout, duration_left()));
    if (notified)
      co_return;
    check_duration();
    throw transport_error(progress(), true, timeout_reason);
  }

  std::chrono::nanoseconds duration_left() const {
    const std::chrono::nanoseconds limit = request_.limits.duration;
    if (!response_began_at_ || limit == response_limits::unlimited_duration)
      return response_limits::unlimited_duration;
    return *response_began_at_ + limit - time_.now();
  }

  /// Throws transport_error if the response still arrives after the limit of its duration.
  void check_duration() {
    if (finished_ || duration_left() > std::chrono::nanoseconds(0))
      return;
    give_up("it takes too long");
    throw make_error();
  }

  /// Gives up a response that cannot be read. Returns false, so that libcurl reads no more of it.
  bool give_up(const char* cause) {
    if (unreadable_cause_)
      return false;
    unreadable_cause_ = cause;
    driver_->log_unreadable(request_, cause, time_.now());
    return false;
  }

  void set_request() {
    const std::string url = "http://" + request_.address + request_.target;
    curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
    if (request_.method == "HEAD")
      curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    if (!request_.body.empty() || request_.method == "POST") {
      curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request_.body.size()));
      curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request_.body.c_str());
    }
    curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
    header_lines_ = curl_slist_append(header_lines_, "Expect:");
    // Suppresses the headers that libcurl would add by itself.
    for (const char* name : {"Accept", "Content-Type"}) {
      if (!request_.headers.find(name))
        header_lines_ = curl_slist_append(header_lines_, (std::string(name) + ":").c_str());
    }
    for (const header& entry : request_.headers) {
      // libcurl omits a header without a value unless it ends with a semicolon.
      const std::string line =
          entry.value.empty() ? entry.name + ";" : entry.name + ": " + entry.value;
      header_lines_ = curl_slist_append(header_lines_, line.c_str());
    }
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, header_lines_);
  }

  void set_connection() {
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy_, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy_, CURLOPT_TCP_KEEPIDLE, 5L);
    curl_easy_setopt(easy_, CURLOPT_TCP_KEEPINTVL, 2L);
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(request_.connect_timeout.count()));
    curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN, max_idle_seconds);
    if (request_.connection == connection_use::fresh) {
      curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
    }
  }

  void set_callbacks() {
    curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &curl_exchange::on_header);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &curl_exchange::on_body);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &curl_exchange::before_sending);
    curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy_, CURLOPT_SOCKOPTFUNCTION, &curl_exchange::on_new_socket);
  }

  static int on_new_socket(void*, curl_socket_t socket, curlsocktype) {
    const int limit = static_cast<int>(tcp_user_timeout.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    return CURL_SOCKOPT_OK;
  }

  static int before_sending(void* self, char*, char*, int, int) {
    auto* exchange = static_cast<curl_exchange*>(self);
    // A second call means that libcurl resends a request whose reused connection broke
    // before the response. The server may have executed it, so it must not be repeated.
    if (exchange->send_started_)
      return CURL_PREREQFUNC_ABORT;
    if (exchange->request_.send_if && !exchange->request_.send_if())
      return CURL_PREREQFUNC_ABORT;
    exchange->send_started_ = true;
    return CURL_PREREQFUNC_OK;
  }

  static std::size_t on_header(char* data, std::size_t, std::size_t size, void* self) {
    const bool accepted = static_cast<curl_exchange*>(self)->parse_header_line({data, size});
    return accepted ? size : 0;
  }

  static std::size_t on_body(char* data, std::size_t, std::size_t size, void* self) {
    return static_cast<curl_exchange*>(self)->append_body({data, size});
  }

  /// Returns false when the response must not be read further.
  bool parse_header_line(std::string_view line) {
    if (!response_began_at_)
      response_began_at_ = time_.now();
    head_bytes_ += line.size();
    if (head_bytes_ > request_.limits.head_bytes)
      return give_up("its headers or trailers are too large");
    // Trailers follow the body, and nothing uses them.
    if (head_complete_)
      return true;
    if (line.ends_with('\n'))
      line.remove_suffix(1);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    if (line.empty()) {
      // An interim response (1xx) is followed by the final one.
      head_complete_ = head_.status >= 200;
      if (!head_complete_)
        return true;
      head_.framing = framing_of(request_.method, head_);
      update_notification_.notify();
      return !request_.accept_head || request_.accept_head(head_);
    }
    if (line.starts_with("HTTP/"))
      return parse_status_line(line);
    return parse_field(line);
  }

  bool parse_status_line(std::string_view line) {
    static constexpr std::size_t status_digits = 3;
    // RFC 9110, section 15: others are invalid, and their class tells nobody what they mean.
    static constexpr int min_status = 100;
    static constexpr int max_status = 599;
    const std::size_t space = line.find(' ');
    std::string_view status = space < line.size() ? line.substr(space + 1) : std::string_view();
    status = status.substr(0, status.find(' '));
    if (status.size() != status_digits || !is_decimal(status) || !is_field_value(line))
      return give_up("its status line is malformed");
    const int code = std::atoi(std::string(status).c_str());
    if (code < min_status || code > max_status)
      return give_up("its status is none");
    head_ = {};
    head_.status = code;
    return true;
  }

  bool parse_field(std::string_view line) {
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value =
        colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    while (value.starts_with(' ') || value.starts_with('\t'))
      value.remove_prefix(1);
    if (colon == std::string_view::npos || !is_token(name) || !is_field_value(value))
      return give_up("a header field is malformed");
    if (same_header_name(name, "Content-Length")) {
      const std::optional<std::string> known = head_.headers.find(name);
      if (!is_decimal(value) || (known && *known != value))
        return give_up("its lengths are malformed or differ");
    }
    head_.headers.add(std::string(name), std::string(value));
    return true;
  }

  std::size_t append_body(std::string_view chunk) {
    if (buffer_.size() >= max_buffered_bytes) {
      paused_ = true;
      return CURL_WRITEFUNC_PAUSE;
    }
    if (chunk.size() > request_.limits.body_bytes - body_bytes_) {
      give_up("its body is too large");
      return CURL_WRITEFUNC_ERROR;
    }
    body_bytes_ += chunk.size();
    buffer_ += chunk;
    update_notification_.notify();
    return chunk.size();
  }

  request_progress progress() const {
    return send_started_ ? request_progress::may_have_been_read : request_progress::not_sent;
  }

  transport_error make_error() const {
    if (unreadable_cause_)
      return transport_error::unreadable_response(std::string("unreadable response: ") +
                                                  unreadable_cause_);
    const bool timed_out = result_ == CURLE_OPERATION_TIMEDOUT;
    return transport_error(progress(), timed_out, curl_easy_strerror(result_));
  }

  std::shared_ptr<curl_client::driver> driver_;
  support::clock& time_;
  client_request request_;
  support::notification update_notification_;
  CURL* easy_;
  curl_slist* header_lines_ = nullptr;
  response_head head_;
  std::string buffer_;
  std::optional<support::clock::time_point> response_began_at_;
  std::size_t head_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  /// Why the response cannot be read, if it cannot.
  const char* unreadable_cause_ = nullptr;
  CURLcode result_ = CURLE_OK;
  bool head_complete_ = false;
  bool send_started_ = false;
  bool finished_ = false;
  bool paused_ = false;
};

} // namespace

void curl_client::driver::collect_finished() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    void* exchange = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &exchange);
    static_cast<curl_exchange*>(exchange)->finish(message->data.result);
  }
}

curl_client::curl_client(asio::io_context& context, support::clock& time)
    : time_(time), driver_(std::make_shared<driver>(context)) {}

curl_client::~curl_client() = default;

void curl_client::limit_idle_connections(std::size_t limit) {
  driver_->limit_idle_connections(std::min(limit, static_cast<std::size_t>(max_idle_connections)));
}

std::unique_ptr<http_exchange> curl_client::open(client_request request) {
  return std::make_unique<curl_exchange>(driver_, time_, std::move(request));
}

} // namespace camphorlug::net
