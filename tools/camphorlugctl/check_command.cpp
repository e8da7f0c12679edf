#include "check_command.h"

#include "camphorlug/configuration/config_check.h"
#include "camphorlug/configuration/config_comparison.h"
#include "camphorlug/gateway/fleet_exchange.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/file_watcher.h"

#include "exit_code.h"
#include "screen.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace camphorlug::ctl {

using configuration::config_change;
using configuration::config_finding;
using configuration::config_findings;
using configuration::finding_severity;
using nlohmann::ordered_json;

static constexpr std::chrono::seconds fetch_timeout{10};

/// A command that ends early with this exit code.
struct command_failure {
  int code = exit_refused;
  std::string message;
};

static std::string read_file(const std::string& file) {
  const auto text = support::read_text_file(file);
  if (!text)
    throw command_failure{exit_invalid, "Cannot read " + file + "."};
  return *text;
}

/// Returns the text of the configuration that the node has in force.
static support::task<std::string> fetch_in_force(net::http_client& client, std::string node) {
  net::client_request request;
  request.address = std::move(node);
  request.target = gateway::config_path;
  request.limits = net::response_limits::bulk();
  net::client_response response;
  try {
    response = co_await client.fetch(std::move(request), fetch_timeout);
  } catch (const net::transport_error& error) {
    throw command_failure{exit_unreachable,
                          std::string("No answer from the node: ") + error.what()};
  }
  if (response.status != 200)
    throw command_failure{exit_refused,
                          "Refused (" + std::to_string(response.status) +
                              "): is --node the peer port of an edge node with a configuration?"};
  co_return response.body;
}

static std::shared_ptr<const gateway::routing_config>
decode_or_fail(const config_decoder& decode, const std::string& name, const std::string& text) {
  try {
    return decode(text);
  } catch (const std::invalid_argument& error) {
    throw command_failure{exit_invalid, "ERROR " + name + ": " + error.what()};
  }
}

static const char* to_text(finding_severity severity) {
  return severity == finding_severity::error ? "error" : "warning";
}

static void print_json(const config_findings& findings, const std::vector<config_change>& changes) {
  ordered_json found = ordered_json::array();
  for (const config_finding& each : findings)
    found.push_back(
        {{"severity", to_text(each.severity)}, {"entry", each.entry}, {"message", each.message}});
  ordered_json changed = ordered_json::array();
  for (const config_change& each : changes)
    changed.push_back(
        {{"entry", each.entry}, {"difference", each.difference}, {"effect", each.effect}});
  std::cout << ordered_json{{"findings", found}, {"changes", changed}}.dump() << "\n";
}

static void print_text(const config_findings& findings, const std::vector<config_change>& changes,
                       bool compared) {
  for (const config_finding& each : findings)
    print_wrapped((each.severity == finding_severity::error ? "ERROR " : "warning ") + each.entry +
                  ": " + each.message);
  for (const config_change& each : changes)
    print_wrapped("change " + each.entry + ": " + each.difference +
                  (each.effect.empty() ? "" : "; " + each.effect));
  if (findings.empty())
    print_wrapped("No errors.");
  if (compared && changes.empty())
    print_wrapped("No differences.");
}

static support::task<int> check_and_compare(net::http_client& client, check_options options,
                                            config_decoder decode, output_options output) {
  const auto config = decode_or_fail(decode, options.file, read_file(options.file));
  const config_findings findings = configuration::check_config(*config);
  std::vector<config_change> changes;
  if (!options.against.empty()) {
    std::string other_text;
    if (options.against == in_force)
      other_text = co_await fetch_in_force(client, options.node);
    else
      other_text = read_file(options.against);
    const auto other = decode_or_fail(decode, options.against, other_text);
    changes = configuration::compare_configs(*other, *config);
  }
  if (output.json)
    print_json(findings, changes);
  else
    print_text(findings, changes, !options.against.empty());
  const bool has_error = std::any_of(findings.begin(), findings.end(), [](const auto& each) {
    return each.severity == finding_severity::error;
  });
  co_return has_error ? exit_invalid : exit_ok;
}

support::task<int> check_config_file(net::http_client& client, check_options options,
                                     config_decoder decode, output_options output) {
  try {
    co_return co_await check_and_compare(client, std::move(options), std::move(decode), output);
  } catch (const command_failure& failure) {
    if (output.json)
      std::cout << ordered_json{{"error", failure.message}}.dump() << "\n";
    else
      print_wrapped(failure.message);
    co_return failure.code;
  }
}

} // namespace camphorlug::ctl
