#include "camphorlug/node/operator_api.h"

#include "camphorlug/documents/parse_document.h"
#include "camphorlug/net/bearer_key.h"
#include "camphorlug/net/problem.h"
#include "camphorlug/node/node.h"
#include "camphorlug/support/digest.h"
#include "camphorlug/table/store_error.h"

#include <nlohmann/json.hpp>

namespace camphorlug::node {

using nlohmann::ordered_json;

static constexpr std::string_view api_prefix = "/operator/v1/";
static constexpr std::string_view services_prefix = "/operator/v1/services/";

static ordered_json to_json(const documents::document_version& version) {
  ordered_json value;
  value["service"] = version.service;
  value["number"] = version.number;
  value["author"] = version.author;
  value["written_at"] = version.written_at;
  value["edit_id"] = version.edit_id;
  value["text"] = version.text;
  return value;
}

static ordered_json to_json(const support::config_errors& errors) {
  ordered_json list = ordered_json::array();
  for (const support::config_error& error : errors) {
    ordered_json each;
    each["line"] = error.line;
    each["key"] = error.key;
    each["value"] = error.value;
    each["allowed"] = error.allowed;
    list.push_back(each);
  }
  return list;
}

static void send(net::response_writer& writer, int status, const ordered_json& body) {
  net::send_json(writer, status,
                 body.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n");
}

const operator_account* operator_api::authenticate(const net::server_request& request) const {
  const std::optional<std::string> key = net::bearer_key(request.headers);
  if (!key)
    return nullptr;
  const std::string hash = support::sha256_hex(*key);
  for (const operator_account& account : node_.settings().operators) {
    if (support::equal_in_constant_time(account.key_hash, hash))
      return &account;
  }
  return nullptr;
}

support::task<> operator_api::handle(net::server_request request, net::response_writer& writer) {
  if (!request.path.starts_with(api_prefix)) {
    net::send_problem(writer, {404, "unknown-path", "no operator endpoint at " + request.path});
    co_return;
  }
  const operator_account* account = authenticate(request);
  if (!account) {
    net::send_problem(
        writer, {401, "wrong-key", "missing or unknown operator key; send it as a bearer token"});
    co_return;
  }
  if (request.path.starts_with(services_prefix))
    co_await handle_service(std::move(request), *account, writer);
  else if (request.path == "/operator/v1/services")
    send_services(writer);
  else if (request.path == "/operator/v1/status")
    send_status(writer);
  else if (request.path == "/operator/v1/groups")
    send_groups(writer);
  else
    net::send_problem(writer, {404, "unknown-path", "no operator endpoint at " + request.path});
}

support::task<> operator_api::handle_service(net::server_request request,
                                             const operator_account& account,
                                             net::response_writer& writer) {
  const std::string rest = request.path.substr(services_prefix.size());
  const std::string service = rest.substr(0, rest.find('/'));
  const std::string action = rest == service ? "" : rest.substr(service.size() + 1);
  if (action.empty() && request.method == "PUT")
    co_await edit_document(service, request, account, writer);
  else if (action.empty())
    send_document(service, writer);
  else if (action == "history")
    co_await send_history(service, writer);
  else if (action == "status")
    send_document_status(service, writer);
  else if (action == "check")
    check_document(request, writer);
  else
    net::send_problem(writer, {404, "unknown-path", "no operator endpoint at " + request.path});
}

static const char* to_string(documents::edit_outcome outcome) {
  switch (outcome) {
  case documents::edit_outcome::accepted:
    return "accepted";
  case documents::edit_outcome::conflict:
    return "conflict";
  case documents::edit_outcome::invalid:
    return "invalid";
  case documents::edit_outcome::not_written:
    return "not-written";
  case documents::edit_outcome::unknown:
    return "unknown";
  }
  return "unknown";
}

static int to_status(documents::edit_outcome outcome) {
  switch (outcome) {
  case documents::edit_outcome::accepted:
    return 200;
  case documents::edit_outcome::conflict:
    return 409;
  case documents::edit_outcome::invalid:
    return 422;
  case documents::edit_outcome::not_written:
    return 503;
  case documents::edit_outcome::unknown:
    return 504;
  }
  return 504;
}

support::task<> operator_api::edit_document(const std::string& service,
                                            const net::server_request& request,
                                            const operator_account& account,
                                            net::response_writer& writer) {
  if (account.role != operator_role::edit) {
    net::send_problem(writer, {403, "read-only", account.name + " has read-only access"});
    co_return;
  }
  documents::edit_request requested_edit;
  try {
    const auto body = nlohmann::json::parse(request.body);
    requested_edit = {service, body.at("text"), body.at("seen_number"), body.at("edit_id"),
                      account.name};
  } catch (const nlohmann::json::exception& error) {
    net::send_problem(writer, {400, "bad-edit", error.what()});
    co_return;
  }
  const documents::edit_result result = co_await node_.editor().edit(std::move(requested_edit));
  ordered_json body;
  body["outcome"] = to_string(result.outcome);
  if (result.outcome == documents::edit_outcome::accepted ||
      result.outcome == documents::edit_outcome::conflict)
    body["current"] = to_json(result.current);
  body["errors"] = to_json(result.errors);
  send(writer, to_status(result.outcome), body);
}

support::task<> operator_api::send_history(const std::string& service,
                                           net::response_writer& writer) {
  std::vector<documents::document_version> versions;
  bool store_failed = false;
  try {
    versions = co_await node_.editor().history(service);
  } catch (const table::store_error&) {
    store_failed = true;
  }
  if (store_failed) {
    net::send_problem(writer, {503, "store-down", "the table service does not answer"});
    co_return;
  }
  ordered_json body;
  body["versions"] = ordered_json::array();
  for (const documents::document_version& version : versions)
    body["versions"].push_back(to_json(version));
  send(writer, 200, body);
}

void operator_api::check_document(const net::server_request& request,
                                  net::response_writer& writer) {
  support::config_errors errors;
  documents::parse_document(request.body, errors);
  ordered_json body;
  body["valid"] = errors.empty();
  body["errors"] = to_json(errors);
  send(writer, 200, body);
}

void operator_api::send_document(const std::string& service, net::response_writer& writer) {
  const auto active = node_.documents().find(service);
  if (!active) {
    net::send_problem(
        writer, {404, "unknown-service", "no document is in force for service '" + service + "'"});
    return;
  }
  send(writer, 200, to_json(active->version));
}

void operator_api::send_document_status(const std::string& service, net::response_writer& writer) {
  ordered_json body;
  body["service"] = service;
  body["nodes"] = ordered_json::array();
  const auto add = [&](const peers::node_report& report) {
    const auto found = report.documents.find(service);
    ordered_json each;
    each["node"] = report.id;
    each["number"] = found == report.documents.end() ? 0 : found->second;
    body["nodes"].push_back(each);
  };
  add(node_.report());
  for (const auto& [id, peer] : node_.peer_registry().peers())
    add(peer.report);
  send(writer, 200, body);
}

void operator_api::send_services(net::response_writer& writer) {
  ordered_json body;
  body["services"] = ordered_json::array();
  for (const auto& active : node_.documents().all()) {
    ordered_json each;
    each["service"] = active->document.service;
    each["number"] = active->version.number;
    each["author"] = active->version.author;
    each["targets"] = node_.live_groups().targets(active->document.service)->size();
    body["services"].push_back(each);
  }
  send(writer, 200, body);
}

static ordered_json to_json(const groups::planner_status& status) {
  ordered_json value;
  value["service"] = status.service;
  value["pool"] = status.pool;
  value["leads"] = status.leads;
  value["leader"] = status.leader;
  value["lease_number"] = status.lease_number;
  value["wanted_groups"] = status.wanted_groups;
  value["routable_groups"] = status.routable_groups;
  value["stranded_accelerators"] = status.stranded_instances;
  value["group_downtime_seconds"] = std::chrono::duration<double>(status.group_downtime).count();
  value["waits_for"] = status.waits_for;
  return value;
}

void operator_api::send_status(net::response_writer& writer) {
  ordered_json body;
  body["node"] = node_.settings().id;
  body["data_centre"] = node_.settings().data_centre;
  body["serves"] = node_.serves();
  body["leaving"] = node_.leaving();
  body["isolated"] = node_.isolated();
  body["peers"] = ordered_json::array();
  for (const auto& [id, peer] : node_.peer_registry().peers()) {
    ordered_json each;
    each["node"] = id;
    each["data_centre"] = peer.report.data_centre;
    each["leaving"] = peer.report.leaving;
    each["isolated"] = peer.report.isolated;
    body["peers"].push_back(each);
  }
  body["planners"] = ordered_json::array();
  for (const groups::planner_status& status : node_.planner_statuses())
    body["planners"].push_back(to_json(status));
  send(writer, 200, body);
}

void operator_api::send_groups(net::response_writer& writer) {
  ordered_json body;
  body["groups"] = ordered_json::array();
  for (const groups::group_record& record : node_.live_groups().records()) {
    ordered_json each;
    each["group"] = record.id;
    each["service"] = record.service;
    each["state"] = to_string(record.state);
    each["version"] = record.version;
    each["fabric_domain"] = record.fabric_domain;
    each["data_centre"] = record.data_centre;
    each["number"] = record.number;
    each["members"] = ordered_json::array();
    for (const targets::group_member& member : record.members)
      each["members"].push_back(member.instance);
    each["obstacle"] = node_.live_groups().unroutable_reason(record);
    each["reason"] = record.reason;
    body["groups"].push_back(each);
  }
  send(writer, 200, body);
}

} // namespace camphorlug::node
