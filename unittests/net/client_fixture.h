#pragma once

#include "camphorlug/net/curl_client.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/asio_clock.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace camphorlug::net {

/// Sends requests of a curl_client to servers on the same context.
struct client_fixture {
  client_fixture() : clock(context), client(context, clock) {}

  support::task<> fetch(client_request request) {
    try {
      response = co_await client.fetch(std::move(request), std::chrono::seconds(2));
    } catch (const transport_error& error) {
      failure = error;
    }
    done = true;
  }

  void run(client_request request) {
    done = false;
    response = {};
    failure.reset();
    support::spawn(context.get_executor(), "fetch", fetch(std::move(request)));
    while (!done)
      context.run_one();
  }

  asio::io_context context;
  support::asio_clock clock;
  curl_client client;
  client_response response;
  std::optional<transport_error> failure;
  bool done = false;
};

} // namespace camphorlug::net
