#include "camphorlug/net/curl_client.h"
#include "camphorlug/net/http_server.h"
#include "camphorlug/node/node_builder.h"
#include "camphorlug/peers/http_peer_client.h"
#include "camphorlug/support/asio_clock.h"
#include "camphorlug/support/file_watcher.h"
#include "camphorlug/support/log.h"
#include "camphorlug/table/http_instance_list.h"
#include "camphorlug/table/http_table_store.h"
#include "camphorlug/targets/http_target_client.h"

#include <asio/signal_set.hpp>
#include <asio/use_awaitable.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_string(settings, "", "path of the node's settings file (TOML)");
DEFINE_string(log_level, "info", "lowest level that is logged: info, warning or error");
DEFINE_bool(check, false, "check the settings and exit");

namespace camphorlug {

static constexpr int exit_bad_settings = 2;
static constexpr std::chrono::milliseconds drain_poll_interval{50};

/// Owns the components of a running daemon. Members are declared in dependency order.
class daemon_process {
public:
  daemon_process(asio::io_context& context, const node::node_settings& settings)
      : context_(context), termination_signals_(context, SIGTERM, SIGINT), time_(context),
        random_(std::random_device{}()), http_(context, time_),
        store_(http_, settings.platform_address), instances_(http_, settings.platform_address),
        targets_(http_), peers_(http_, settings.peer_key),
        node_(node::node_builder(context.get_executor())
                  .settings(settings)
                  .clock(time_)
                  .random(random_)
                  .store(store_)
                  .instances(instances_)
                  .targets(targets_)
                  .peers(peers_)
                  .build()),
        caller_server_(context, settings.address,
                       [this](net::server_request request, net::response_writer& writer) {
                         return node_->handle_caller(std::move(request), writer);
                       }),
        operator_server_(context, settings.operator_address,
                         [this](net::server_request request, net::response_writer& writer) {
                           return node_->handle_operator(std::move(request), writer);
                         }) {
    node_->start();
    support::spawn(context.get_executor(), "shutdown", shut_down_on_signal());
    support::spawn(context.get_executor(), "signals", ignore_later_signals());
  }

private:
  support::task<> shut_down_on_signal() {
    co_await termination_signals_.async_wait(asio::use_awaitable);
    signalled_ = true;
    co_await node_->leave();
    caller_server_.stop_accepting();
    while (caller_server_.in_progress() > 0)
      co_await time_.sleep_for(drain_poll_interval);
    support::log_event(support::log_level::info, "drained");
    context_.stop();
  }

  /// Waits until the first signal was handled, then discards further ones, so that a second one
  /// does not cut requests in progress.
  support::task<> ignore_later_signals() {
    for (;;) {
      co_await time_.sleep_for(drain_poll_interval);
      if (signalled_)
        co_await termination_signals_.async_wait(asio::use_awaitable);
    }
  }

  asio::io_context& context_;
  asio::signal_set termination_signals_;
  support::asio_clock time_;
  support::random_source random_;
  net::curl_client http_;
  table::http_table_store store_;
  table::http_instance_list instances_;
  targets::http_target_client targets_;
  peers::http_peer_client peers_;
  std::unique_ptr<node::node> node_;
  net::http_server caller_server_;
  net::http_server operator_server_;
  bool signalled_ = false;
};

static std::optional<node::node_settings> read_settings(const std::string& path) {
  support::config_errors errors;
  const std::optional<std::string> text = support::read_text_file(path);
  std::optional<node::node_settings> settings;
  if (text)
    settings = node::node_settings::parse(*text, path, errors);
  else
    errors.push_back({path, 0, "--settings", path, "the path of a readable file"});
  for (const support::config_error& error : errors)
    std::cerr << error.to_line() << "\n";
  return settings;
}

static support::log_level to_level(const std::string& name) {
  if (name == "error")
    return support::log_level::error;
  return name == "warning" ? support::log_level::warning : support::log_level::info;
}

static int run(int argc, char** argv) {
  gflags::SetUsageMessage("camphorlugd --settings=FILE\n"
                          "Exit codes: 0 ended after SIGTERM, 1 failed, 2 invalid settings.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto settings = read_settings(FLAGS_settings);
  if (!settings)
    return exit_bad_settings;
  if (FLAGS_check)
    return 0;
  support::start_json_log(settings->id, to_level(FLAGS_log_level));
  asio::io_context context;
  try {
    daemon_process process(context, *settings);
    support::log_event(support::log_level::info, "started", {{"address", settings->address}});
    context.run();
    support::flush_log(support::last_lines_patience);
    // Suspended tasks still hold references into `process`, so skip its destructor and let the
    // operating system reclaim all resources.
    std::quick_exit(0);
  } catch (const std::exception& error) {
    support::log_event(support::log_level::error, "failed", {{"error", error.what()}});
    support::flush_log(support::last_lines_patience);
    std::quick_exit(1);
  }
}

} // namespace camphorlug

int main(int argc, char** argv) {
  return camphorlug::run(argc, argv);
}
