#include "camphorlug/net/http_server.h"

#include "connection_acceptor.h"
#include "metered_socket.h"

#include "camphorlug/net/header_syntax.h"
#include "camphorlug/net/problem.h"
#include "camphorlug/support/log.h"

#include <algorithm>
#include <asio/async_result.hpp>
#include <asio/post.hpp>
#include <asio/use_awaitable.hpp>
#include <map>
#include <netinet/tcp.h>
#include <restinio/all.hpp>
#include <utility>
#include <vector>

namespace camphorlug::net {

/// Requests with more headers than this are rejected with status 431.
static constexpr std::size_t max_headers = 100;

/// RESTinio closes a connection without a response when its own limits are exceeded. Its
/// limits are this multiple of ours, so that most oversized requests still get an error
/// response.
static constexpr std::size_t library_limit_factor = 16;

/// Closed connections are forgotten once in so many new ones.
static constexpr std::size_t clean_up_interval = 256;

static constexpr std::chrono::hours handler_timeout{24};
static constexpr std::chrono::seconds write_timeout{20};

namespace {

/// Callbacks to run when a connection closes, by connection. Each request in progress on a
/// connection may register one.
class disconnect_callbacks {
public:
  using callback_id = std::uint64_t;

  callback_id add(restinio::connection_id_t connection, std::function<void()> callback) {
    registrations_.emplace(connection, registration{++last_id_, std::move(callback)});
    return last_id_;
  }

  void remove(restinio::connection_id_t connection, callback_id id) {
    const auto [begin, end] = registrations_.equal_range(connection);
    const auto found =
        std::find_if(begin, end, [id](const auto& entry) { return entry.second.id == id; });
    if (found != end)
      registrations_.erase(found);
  }

  /// Called by RESTinio on each change of a connection's state.
  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
      return;
    const auto [begin, end] = registrations_.equal_range(notice.connection_id());
    std::vector<std::function<void()>> callbacks;
    for (auto entry = begin; entry != end; ++entry)
      callbacks.push_back(std::move(entry->second.callback));
    registrations_.erase(begin, end);
    for (const auto& callback : callbacks)
      callback();
  }

private:
  struct registration {
    callback_id id = 0;
    std::function<void()> callback;
  };

  std::multimap<restinio::connection_id_t, registration> registrations_;
  callback_id last_id_ = 0;
};

struct server_traits : restinio::default_single_thread_traits_t {
  using request_handler_t =
      std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
  using connection_state_listener_t = disconnect_callbacks;
  using stream_socket_t = metered_socket;
};

using connection_factory = restinio::impl::connection_factory_t<server_traits>;
using chunked_builder = restinio::response_builder_t<restinio::chunked_output_t>;

template<class Builder>
void add_headers(Builder& builder, const header_list& headers) {
  for (const header& entry : headers) {
    if (same_header_name(entry.name, "Connection"))
      builder.connection_close();
    else
      builder.append_header(entry.name, entry.value);
  }
}

/// Stores a function in `callback` and waits until it is called.
support::task<> wait_for_call(std::function<void()>& callback) {
  auto begin_wait = [&callback](auto handler) {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    callback = [shared] {
      auto executor = asio::get_associated_executor(*shared);
      asio::post(executor, [shared] { std::move (*shared)(); });
    };
  };
  co_await asio::async_initiate<decltype(asio::use_awaitable), void()>(std::move(begin_wait),
                                                                       asio::use_awaitable);
}

/// A request's place in the order of the requests of its connection.
struct request_turn {
  bool ended = false;
  /// No response can be sent on the connection after this request's.
  bool closed_connection = false;
  /// Called when the response has been written or given up.
  std::function<void()> on_end;
};

/// Whether a complete response has been written to its connection.
struct write_progress {
  /// The response is complete, and RESTinio has not yet reported the end of its writing.
  bool pending = false;
  bool written = false;
  /// Called when the writing has ended.
  std::function<void()> on_end;
};

class restinio_writer final : public response_writer {
public:
  /// `unwritten` counts the completed responses whose last bytes have not been written.
  restinio_writer(restinio::request_handle_t request,
                  std::shared_ptr<disconnect_callbacks> callbacks,
                  std::shared_ptr<std::size_t> unwritten)
      : request_(std::move(request)), disconnect_callbacks_(std::move(callbacks)),
        unwritten_(std::move(unwritten)),
        closes_connection_(!request_->header().should_keep_alive()) {}

  ~restinio_writer() override { drop_disconnect_callback(); }

  /// The callback may refer to objects of the handler, so it must not outlive it.
  void drop_disconnect_callback() {
    if (const auto id = std::exchange(callback_id_, std::nullopt))
      disconnect_callbacks_->remove(request_->connection_id(), *id);
  }

  void send(int status, header_list headers, std::string body) override {
    started_ = true;
    auto response = request_->create_response(status_line(status));
    add_headers(response, headers);
    note_connection_header(headers);
    response.set_body(std::move(body));
    response.done(begin_last_write());
  }

  void start(int status, header_list headers) override {
    started_ = true;
    connection_ = restinio::impl::access_req_connection(*request_);
    chunks_.emplace(request_->create_response<restinio::chunked_output_t>(status_line(status)));
    add_headers(*chunks_, headers);
    note_connection_header(headers);
    chunks_->flush();
  }

  support::task<bool> write(std::string chunk) override {
    if (chunk.empty())
      co_return true;
    chunks_->append_chunk(std::move(chunk));
    auto begin_flush = [this](auto handler) {
      auto shared = std::make_shared<decltype(handler)>(std::move(handler));
      auto done = [shared](const asio::error_code& error) {
        auto executor = asio::get_associated_executor(*shared);
        asio::post(executor, [shared, error] { std::move (*shared)(!error); });
      };
      chunks_->flush(restinio::write_status_cb_t(std::move(done)));
    };
    const bool written = co_await asio::async_initiate<decltype(asio::use_awaitable), void(bool)>(
        std::move(begin_flush), asio::use_awaitable);
    co_return written;
  }

  void finish() override { chunks_->done(begin_last_write()); }

  support::task<bool> written() override {
    if (progress_->pending)
      co_await wait_for_call(progress_->on_end);
    co_return progress_->written;
  }

  void abort() override {
    using connection_type = restinio::impl::connection_t<server_traits>;
    started_ = true;
    is_complete_ = true;
    closes_connection_ = true;
    auto handle_to_close = std::move(restinio::impl::access_req_connection(*request_));
    if (!handle_to_close && connection_)
      handle_to_close = connection_;
    const auto connection = std::dynamic_pointer_cast<connection_type>(handle_to_close);
    if (!connection)
      return;
    // RESTinio has no call to reset a connection. Take over the socket as a protocol
    // upgrade does, and close it with a zero linger time, which discards unsent data.
    auto upgraded = connection->move_upgrade_internals();
    asio::error_code ignored;
    upgraded.m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    upgraded.m_socket.close(ignored);
  }

  void on_disconnect(std::function<void()> callback) override {
    callback_id_ = disconnect_callbacks_->add(request_->connection_id(), std::move(callback));
  }

  bool started() const override { return started_; }

  /// Whether `send`, `finish` or `abort` was called.
  bool is_complete() const { return is_complete_; }

  /// Whether the connection ends with this response.
  bool closes_connection() const { return closes_connection_; }

private:
  /// RESTinio calls the result once: when the response has been written, or when its connection
  /// was closed before.
  restinio::write_status_cb_t begin_last_write() {
    is_complete_ = true;
    progress_->pending = true;
    ++*unwritten_;
    return [progress = progress_, unwritten = unwritten_](const asio::error_code& error) {
      --*unwritten;
      progress->pending = false;
      progress->written = !error;
      if (const auto on_end = std::exchange(progress->on_end, nullptr))
        on_end();
    };
  }

  void note_connection_header(const header_list& headers) {
    closes_connection_ = closes_connection_ || headers.find("Connection").has_value();
  }

  static restinio::http_status_line_t status_line(int status) {
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            reason_phrase(status)};
  }

  static std::string reason_phrase(int status) {
    if (status < 300)
      return "OK";
    return status < 500 ? "Request Refused" : "Server Error";
  }

  restinio::request_handle_t request_;
  std::shared_ptr<disconnect_callbacks> disconnect_callbacks_;
  std::shared_ptr<std::size_t> unwritten_;
  std::optional<chunked_builder> chunks_;
  /// Keeps the connection for `abort`, because the response builder moves it out of the
  /// request.
  restinio::impl::connection_handle_t connection_;
  std::optional<disconnect_callbacks::callback_id> callback_id_;
  std::shared_ptr<write_progress> progress_ = std::make_shared<write_progress>();
  bool started_ = false;
  bool is_complete_ = false;
  bool closes_connection_;
};

server_request to_server_request(const restinio::request_handle_t& request) {
  server_request copy;
  copy.method = request->header().method().c_str();
  copy.target = request->header().request_target();
  copy.path = std::string(request->header().path());
  copy.query = std::string(request->header().query());
  request->header().for_each_field([&copy](const restinio::http_header_field_t& field) {
    copy.headers.add(field.name(), field.value());
  });
  copy.body = request->body();
  copy.connection_id = request->connection_id();
  return copy;
}

std::optional<problem> check_request(const server_request& request, const server_limits& limits) {
  if (request.body.size() > limits.max_body_bytes)
    return problem{413, "body-too-large",
                   "the body has " + std::to_string(request.body.size()) + " bytes; at most " +
                       std::to_string(limits.max_body_bytes) + " are taken"};
  std::size_t count = 0;
  for (const header& entry : request.headers) {
    // RESTinio accepts blanks in names, which other servers read differently.
    if (!is_token(entry.name) || !is_field_value(entry.value))
      return problem{400, "malformed-header", "a header field is malformed"};
    if (++count > max_headers || entry.value.size() > limits.max_header_value_bytes)
      return problem{431, "headers-too-large",
                     "at most " + std::to_string(max_headers) + " headers of at most " +
                         std::to_string(limits.max_header_value_bytes) + " bytes are taken; " +
                         "shorten " + entry.name};
  }
  return std::nullopt;
}

restinio::server_settings_t<server_traits> connection_settings(const server_limits& limits) {
  restinio::server_settings_t<server_traits> settings;
  settings.handle_request_timeout(handler_timeout);
  settings.read_next_http_message_timelimit(limits.idle_timeout);
  settings.write_http_response_timelimit(write_timeout);
  // RESTinio keeps reading while another request may be queued, which lets it detect
  // immediately that a waiting client has closed its connection.
  settings.max_pipelined_requests(2);
  settings.incoming_http_msg_limits(
      restinio::incoming_http_msg_limits_t{}
          .max_url_size(16 * 1024)
          .max_field_name_size(16 * 1024)
          .max_field_value_size(limits.max_header_value_bytes * library_limit_factor)
          .max_field_count(max_headers * library_limit_factor)
          .max_body_size(limits.max_body_bytes * library_limit_factor));
  return settings;
}

/// What counts an open connection and its requests. The connection owns both; either may be absent.
struct connection_accounts {
  std::weak_ptr<open_connection> counted;
  std::weak_ptr<receive_meter> meter;

  bool expired() const { return counted.expired() && meter.expired(); }
};

} // namespace

struct http_server::implementation : std::enable_shared_from_this<implementation> {
  asio::io_context& context;
  request_handler handler;
  server_limits limits;
  std::shared_ptr<disconnect_callbacks> callbacks = std::make_shared<disconnect_callbacks>();
  std::unique_ptr<connection_factory> connections;
  std::shared_ptr<connection_acceptor> acceptor;
  std::map<restinio::connection_id_t, connection_accounts> accounts;
  std::size_t in_progress = 0;
  /// The latest request of each connection that has requests in progress.
  std::map<restinio::connection_id_t, std::shared_ptr<request_turn>> latest_turns;
  std::shared_ptr<std::size_t> unwritten_responses = std::make_shared<std::size_t>(0);

  implementation(asio::io_context& io, request_handler handle, server_limits bounds)
      : context(io), handler(std::move(handle)), limits(bounds) {}

  /// Waits until the previous request of the connection has ended. Returns whether the connection
  /// is still open then.
  support::task<bool> wait_for_turn(restinio::connection_id_t connection,
                                    std::shared_ptr<request_turn> previous) {
    const auto disconnected = std::make_shared<bool>(false);
    const auto id = callbacks->add(connection, [disconnected] { *disconnected = true; });
    if (!previous->ended)
      co_await wait_for_call(previous->on_end);
    callbacks->remove(connection, id);
    co_return !*disconnected && !previous->closed_connection;
  }

  void end_turn(restinio::connection_id_t connection, request_turn& turn) {
    turn.ended = true;
    if (const auto latest = latest_turns.find(connection); latest->second.get() == &turn)
      latest_turns.erase(latest);
    if (const auto on_end = std::exchange(turn.on_end, nullptr))
      on_end();
    --in_progress;
    if (const auto counted = counted_connection(connection))
      counted->end_request();
  }

  /// Returns the memory that the request takes, which has been received completely.
  support::memory_budget::charge take_memory(restinio::connection_id_t connection) {
    const auto found = accounts.find(connection);
    const auto meter = found == accounts.end() ? nullptr : found->second.meter.lock();
    return meter ? meter->take() : support::memory_budget::charge();
  }

  /// Opens a connection that reads requests from `socket`.
  void serve_connection(asio::ip::tcp::socket socket) {
    asio::error_code error;
    const auto peer = socket.remote_endpoint(error);
    if (!error)
      socket.set_option(asio::ip::tcp::no_delay(true), error);
    if (!error)
      socket.set_option(asio::socket_base::keep_alive(true), error);
    // The client has reset the connection already.
    if (error)
      return;
    if (limits.connections && !limits.connections->make_room() && limits.serves_callers) {
      limits.connections->count_refusal();
      metered_socket::write_refusal(socket);
      return;
    }
    const auto counted =
        limits.connections
            ? std::make_shared<open_connection>(*limits.connections, limits.serves_callers)
            : nullptr;
    const auto meter = asio::use_service<receive_meters>(context).open(peer);
    const auto connection = connections->create_new_connection(
        metered_socket(std::move(socket), counted, meter), peer, {nullptr});
    if (counted || meter) {
      if (connection->connection_id() % clean_up_interval == 0)
        std::erase_if(accounts, [](const auto& each) { return each.second.expired(); });
      accounts.emplace(connection->connection_id(), connection_accounts{counted, meter});
    }
    connection->init();
  }

  /// Returns nullptr if the connection is closed or nothing counts it.
  std::shared_ptr<open_connection> counted_connection(restinio::connection_id_t id) const {
    const auto found = accounts.find(id);
    return found == accounts.end() ? nullptr : found->second.counted.lock();
  }

  /// Counts a request that has arrived. It is counted before its coroutine starts, so that a
  /// request is always either arriving or in progress.
  void begin_request(restinio::connection_id_t connection) {
    ++in_progress;
    if (const auto counted = counted_connection(connection))
      counted->begin_request();
  }

  /// Passes the requests of a connection, which are counted as in progress, to the handler one
  /// after the other. The response to a request may close the connection, and one that follows it
  /// must not be executed then, because it could not be answered.
  static support::task<> handle_request(std::shared_ptr<implementation> self,
                                        restinio::request_handle_t handle,
                                        support::memory_budget::charge) {
    const auto connection = handle->connection_id();
    const auto turn = std::make_shared<request_turn>();
    const auto previous = std::exchange(self->latest_turns[connection], turn);
    if (previous) {
      const bool is_open = co_await self->wait_for_turn(connection, previous);
      if (!is_open) {
        turn->closed_connection = true;
        self->end_turn(connection, *turn);
        co_return;
      }
    }
    restinio_writer writer(handle, self->callbacks, self->unwritten_responses);
    server_request request = to_server_request(handle);
    std::exception_ptr failure;
    try {
      if (const auto refused = check_request(request, self->limits))
        send_problem(writer, *refused);
      else
        co_await self->handler(std::move(request), writer);
    } catch (...) {
      failure = std::current_exception();
    }
    writer.drop_disconnect_callback();
    if (failure && !writer.started())
      send_problem(writer, {500, "internal-error", "the node failed to answer; see its log"});
    else if (failure && !writer.is_complete())
      writer.abort();
    const bool written = co_await writer.written();
    turn->closed_connection = !written || writer.closes_connection();
    self->end_turn(connection, *turn);
    if (failure)
      std::rethrow_exception(failure);
  }
};

http_server::http_server(asio::io_context& context, const std::string& address,
                         request_handler handler, server_limits limits)
    : implementation_(std::make_shared<implementation>(context, std::move(handler), limits)) {
  if (limits.receiving)
    asio::use_service<receive_meters>(context).set_budget(limits.receiving,
                                                          limits.request_id_header);
  const std::size_t colon = address.rfind(':');
  const std::string host = address.substr(0, colon);
  const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
  std::weak_ptr<implementation> weak = implementation_;
  auto handle_connection_request = [weak](restinio::request_handle_t request) {
    const auto self = weak.lock();
    if (!self)
      return restinio::request_rejected();
    support::memory_budget::charge memory = self->take_memory(request->connection_id());
    self->begin_request(request->connection_id());
    support::spawn(self->context.get_executor(), "request",
                   implementation::handle_request(self, std::move(request), std::move(memory)));
    return restinio::request_accepted();
  };
  auto settings = connection_settings(limits);
  settings.request_handler(handle_connection_request);
  settings.connection_state_listener(implementation_->callbacks);
  const auto timers = settings.timer_factory()->create(context);
  implementation_->connections = std::make_unique<connection_factory>(
      std::make_shared<restinio::impl::connection_settings_t<server_traits>>(
          settings,
          restinio::impl::create_parser_settings<typename server_traits::http_methods_mapper_t>(),
          timers),
      settings.socket_options_setter());
  implementation_->acceptor =
      std::make_shared<connection_acceptor>(context, [weak](asio::ip::tcp::socket socket) {
        if (const auto self = weak.lock())
          self->serve_connection(std::move(socket));
      });
  try {
    implementation_->acceptor->listen({asio::ip::make_address(host), port});
  } catch (const std::exception& error) {
    throw std::runtime_error("cannot listen on " + address + ": " + error.what() +
                             "; choose a free address");
  }
}

http_server::~http_server() {
  stop_accepting();
}

void http_server::stop_accepting() {
  implementation_->acceptor->close();
}

std::size_t http_server::in_progress() const {
  return implementation_->in_progress;
}

std::uint64_t http_server::accept_errors() const {
  return implementation_->acceptor->errors();
}

std::size_t http_server::receiving() const {
  return asio::use_service<receive_meters>(implementation_->context).incomplete().size();
}

void http_server::log_incomplete_requests() const {
  for (const auto& meter : asio::use_service<receive_meters>(implementation_->context).incomplete())
    support::log_event(support::log_level::warning, "request_incomplete",
                       {{"request", meter->request_id},
                        {"peer", meter->peer},
                        {"received", std::to_string(meter->received)},
                        {"announced", std::to_string(meter->announced)}});
}

std::size_t http_server::unwritten_responses() const {
  return *implementation_->unwritten_responses;
}

} // namespace camphorlug::net
