#include "camphorlug/net/curl_client.h"
#include "camphorlug/support/asio_clock.h"
#include "camphorlug/support/random_source.h"

#include "check_command.h"
#include "edge_commands.h"
#include "exit_code.h"
#include "explain_command.h"
#include "platform_row_decoder.h"
#include "request_command.h"
#include "screen.h"
#include "service_commands.h"
#include "view_commands.h"

#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_string(node, "127.0.0.1:18120",
              "ip:port of a node's operator port; for edge and check, of its peer port");
DEFINE_string(entry, "127.0.0.1:18100", "ip:port of a node's caller port");
DEFINE_string(key_file, "", "file that holds the key (default: the value of CAMPHORLUG_KEY)");
DEFINE_string(edit_id, "", "id of an earlier edit to retry");
DEFINE_string(body, "", "request: body to send");
DEFINE_string(method, "POST", "request: HTTP method");
DEFINE_string(class_name, "",
              "request: value of Camphorlug-Class; empty for the organisation's default");
DEFINE_string(idempotency_key, "", "request: the idempotency key");
DEFINE_bool(idempotent, true, "request: whether it is safe to execute more than once");
DEFINE_bool(stream, false, "request: stream the response");
DEFINE_string(against, "", "check: file to compare with, or in-force for the version at the node");
DEFINE_bool(json, false, "print JSON for scripts");

namespace camphorlug::ctl {

static constexpr const char* usage = R"(camphorlugctl VERB [ARGUMENTS] [--flags]

 status            this node and its peers
 groups            the replica groups
 why GROUP         one group and the reason
                   for its state
 entries           addresses for callers
 request PATH      send a request
 edge              an edge node's own view
 edge routes|groups|targets|peers|retries
 edge banned_parts|evacuations|cold_targets
 edge lift REQUEST  end a request's ban
 edge lift S PART   end the ban of a prompt
                   part of service S
 check FILE        errors in an edge
                   configuration, and with
                   --against=FILE|in-force
                   what differs
 explain ID        trace of a request, from
                   log lines on stdin
 service list
 service show S
 service edit S    fetch S into S.toml
 service apply S FILE
 service check FILE
 service diff S FILE
 service history S
 service rollback S NUMBER
 service status S  version on each node

Keys come from --key_file or CAMPHORLUG_KEY,
never from the command line.

Exit codes: 0 done, 1 refused, 2 wrong
command or document, 3 conflict, 4
outcome unknown, 5 no node responded.)";

static std::string read_key() {
  std::string key;
  if (!FLAGS_key_file.empty()) {
    std::ifstream file(FLAGS_key_file);
    std::getline(file, key);
    return key;
  }
  const char* value = std::getenv("CAMPHORLUG_KEY");
  return value ? value : "";
}

static std::string choose_edit_id() {
  if (!FLAGS_edit_id.empty())
    return FLAGS_edit_id;
  return support::random_source(std::random_device{}()).identifier();
}

/// Returns `body` with `"stream": true` added. A body that is not a JSON object is returned
/// unchanged, so that the node reports the error.
static std::string with_stream_field(const std::string& body) {
  auto value = nlohmann::json::parse(body, nullptr, false);
  if (!value.is_object())
    return body;
  value["stream"] = true;
  return value.dump();
}

static caller::caller_request make_request(const std::string& path) {
  caller::caller_request request;
  request.method = FLAGS_method;
  request.target = path;
  request.body = FLAGS_stream ? with_stream_field(FLAGS_body) : FLAGS_body;
  request.key = read_key();
  request.class_name = FLAGS_class_name;
  request.idempotency_key = FLAGS_idempotency_key;
  request.idempotent = FLAGS_idempotent;
  request.stream = FLAGS_stream;
  return request;
}

static support::task<int> dispatch(std::vector<std::string> arguments, net::http_client& client,
                                   support::clock& time) {
  operator_client node_client(client, FLAGS_node, read_key());
  const output_options output{FLAGS_json};
  const std::string verb = arguments.front();
  const bool has_argument = arguments.size() == 2;
  if (verb == "status")
    co_return co_await show_status(node_client, output);
  if (verb == "groups")
    co_return co_await show_groups(node_client, output);
  if (verb == "why" && has_argument)
    co_return co_await explain_group(node_client, arguments[1], output);
  if (verb == "explain" && has_argument)
    co_return explain_request(std::cin, arguments[1], output);
  if (verb == "check" && has_argument)
    co_return co_await check_config_file(client, {arguments[1], FLAGS_against, FLAGS_node},
                                         platform::platform_row_decoder::parse_config, output);
  if (verb == "edge" && arguments.size() == 3 && arguments[1] == "lift")
    co_return co_await lift_ban(client, FLAGS_node, "", arguments[2]);
  if (verb == "edge" && arguments.size() == 4 && arguments[1] == "lift")
    co_return co_await lift_ban(client, FLAGS_node, arguments[2], arguments[3]);
  if (verb == "edge" && arguments.size() <= 2) {
    const std::string part = has_argument ? arguments[1] : "";
    co_return co_await show_edge(client, FLAGS_node, part, output);
  }
  if (verb == "entries")
    co_return co_await show_entries(client, FLAGS_entry);
  if (verb == "request" && has_argument) {
    caller::entry_cache entries(client, time, {FLAGS_entry}, "");
    caller::reference_caller caller(client, time, entries);
    co_return co_await send_request(caller, make_request(arguments[1]));
  }
  if (verb == "service") {
    service_commands commands(node_client, output, choose_edit_id());
    arguments.erase(arguments.begin());
    co_return co_await commands.run(std::move(arguments));
  }
  std::cout << usage << "\n";
  co_return exit_invalid;
}

static support::task<> run_command(std::vector<std::string> arguments, net::http_client& client,
                                   support::clock& time, asio::io_context& context, int& code) {
  code = co_await dispatch(std::move(arguments), client, time);
  context.stop();
}

static int run(int argc, char** argv) {
  gflags::SetUsageMessage(usage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty()) {
    std::cout << usage << "\n";
    return exit_invalid;
  }
  asio::io_context context;
  support::asio_clock time(context);
  net::curl_client client(context, time);
  int code = exit_refused;
  support::spawn(context.get_executor(), "command",
                 run_command(arguments, client, time, context, code));
  context.run();
  return code;
}

} // namespace camphorlug::ctl

int main(int argc, char** argv) {
  return camphorlug::ctl::run(argc, argv);
}
