#pragma once

#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/node/node_settings.h"
#include "camphorlug/support/task.h"

namespace camphorlug::node {

class node;

/// HTTP API for operators under `/operator/v1/`.
class operator_api {
public:
  explicit operator_api(node& served_node) : node_(served_node) {}

  support::task<> handle(net::server_request request, net::response_writer& writer);

private:
  const operator_account* authenticate(const net::server_request& request) const;
  support::task<> handle_service(net::server_request request, const operator_account& account,
                                 net::response_writer& writer);
  support::task<> edit_document(const std::string& service, const net::server_request& request,
                                const operator_account& account, net::response_writer& writer);
  support::task<> send_history(const std::string& service, net::response_writer& writer);
  void check_document(const net::server_request& request, net::response_writer& writer);
  void send_document(const std::string& service, net::response_writer& writer);
  void send_document_status(const std::string& service, net::response_writer& writer);
  void send_services(net::response_writer& writer);
  void send_status(net::response_writer& writer);
  void send_groups(net::response_writer& writer);

  node& node_;
};

} // namespace camphorlug::node
