#include "edge_commands.h"

#include "camphorlug/edge/lift_path.h"
#include "camphorlug/edge/state_path.h"
#include "camphorlug/net/transport_error.h"

#include "exit_code.h"
#include "screen.h"

#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace camphorlug::ctl {

using nlohmann::ordered_json;

static constexpr std::chrono::seconds state_timeout{10};

static std::string flag_suffix(const ordered_json& flag, const char* word) {
  return flag.get<bool>() ? std::string(" ") + word : "";
}

static std::string to_text(const ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

static void print_route(const ordered_json& route) {
  print_wrapped(to_text(route["route"]) + " " + to_text(route["host"]) +
                to_text(route["path_prefix"]) + " to " + route["services"].dump() + " timeout " +
                to_text(route["timeout_ms"]) + " ms" +
                flag_suffix(route["repeatable"], "repeatable"));
}

static void print_group(const ordered_json& group) {
  std::string members;
  for (const ordered_json& member : group["members"])
    members += " " + to_text(member);
  print_wrapped(to_text(group["group"]) + "/" + to_text(group["epoch"]) + " " +
                to_text(group["model"]) + " " + to_text(group["in_flight"]) +
                " in flight:" + members);
}

static void print_target(const ordered_json& target) {
  std::string place;
  if (target.contains("membership"))
    place = " " + to_text(target["membership"]["state"]) + " in " +
            to_text(target["membership"]["group"]) + " rank " +
            to_text(target["membership"]["rank"]);
  print_wrapped(to_text(target["target"]) + " " + to_text(target["service"]) + place + ", row " +
                to_text(target["row_version"]) + " read " + to_text(target["row_age_ms"]) +
                " ms ago" + flag_suffix(target["draining"], "DRAINING") +
                flag_suffix(target["missing"], "MISSING") +
                flag_suffix(target["suspected"], "SUSPECTED"));
}

static void print_peer(const ordered_json& peer) {
  print_wrapped(to_text(peer["node"]) + " in " + to_text(peer["data_centre"]) + " heard " +
                to_text(peer["heard_ms_ago"]) + " ms ago, configuration " +
                to_text(peer["config"]) + flag_suffix(peer["leads"], "plans groups") +
                flag_suffix(peer["leaving"], "LEAVING"));
}

static void print_retry_budget(const ordered_json& budget) {
  print_wrapped(to_text(budget["service"]) + ": " + to_text(budget["retries"]) + " retries of " +
                to_text(budget["bound"]) + " for " + to_text(budget["requests"]) + " requests");
}

static void print_banned_part(const ordered_json& ban) {
  std::string targets;
  for (const ordered_json& each : ban["targets"])
    targets += " " + to_text(each["target"]) + " " + to_text(each["age_ms"]) + " ms ago";
  const std::string service = to_text(ban["service"]);
  print_wrapped((service.empty() ? "" : service + " ") + to_text(ban["part"]) + ", " +
                to_text(ban["crashes"]) + " crashes in a row:" + targets);
}

static void print_evacuation(const ordered_json& evacuation) {
  print_wrapped(to_text(evacuation["data_centre"]) + " announced " + to_text(evacuation["age_ms"]) +
                " ms ago or earlier, row " + to_text(evacuation["row_version"]) +
                flag_suffix(evacuation["closed"], "CLOSED"));
}

static void print_cold_target(const ordered_json& target) {
  print_wrapped(to_text(target["target"]) + " in " + to_text(target["data_centre"]) +
                " cold for another " + to_text(target["left_ms"]) + " ms");
}

static void print_overview(const ordered_json& state) {
  print_wrapped(to_text(state["node"]) + " in " + to_text(state["data_centre"]) +
                (state["ready"].get<bool>() ? " serves" : " does not serve") +
                flag_suffix(state["leaving"], "leaving"));
  if (state["config"].is_null())
    print_wrapped("no configuration received");
  else
    print_wrapped("configuration " + to_text(state["config"]["version"]) + " applied " +
                  to_text(state["config"]["age_ms"]) + " ms ago, " +
                  std::to_string(state["config"]["routes"].size()) + " routes");
  print_wrapped(state["store_answered_ms_ago"].is_null()
                    ? "no response from the store so far"
                    : "store responded " + to_text(state["store_answered_ms_ago"]) +
                          " ms ago, era " + to_text(state["store_era"]));
  print_wrapped(state["lease"]["held_here"].get<bool>()
                    ? "plans groups under lease number " + to_text(state["lease"]["number"])
                    : "groups planned by " + to_text(state["lease"]["last_holder"]));
  print_wrapped(std::to_string(state["groups"].size()) + " groups serve, " +
                std::to_string(state["targets"].size()) + " targets, " +
                std::to_string(state["peers"].size()) + " peers, " +
                to_text(state["waiting_requests"]) + " requests queued");
  if (state.contains("unreachable_services")) {
    for (const ordered_json& service : state["unreachable_services"])
      print_wrapped("CANNOT REACH targets of " + to_text(service) + "; peers relay");
  }
  if (state.contains("evacuations")) {
    for (const ordered_json& each : state["evacuations"])
      print_wrapped("EVACUATED: " + to_text(each["data_centre"]) + "; see: edge evacuations");
  }
  if (state.contains("cold_targets") && !state["cold_targets"].empty())
    print_wrapped(std::to_string(state["cold_targets"].size()) +
                  " COLD targets; see: edge cold_targets. This node hears " +
                  to_text(state["heard_part"]) + " of " + to_text(state["known_nodes"]) +
                  " known nodes");
  if (state.contains("banned_parts") && !state["banned_parts"].empty())
    print_wrapped(std::to_string(state["banned_parts"].size()) +
                  " BANNED parts or requests; see: edge banned_parts");
}

using line_printer = void (*)(const ordered_json&);

static const std::map<std::string, line_printer>& part_printers() {
  static const std::map<std::string, line_printer> printers{
      {"routes", print_route},           {"groups", print_group},
      {"targets", print_target},         {"peers", print_peer},
      {"retries", print_retry_budget},   {"banned_parts", print_banned_part},
      {"evacuations", print_evacuation}, {"cold_targets", print_cold_target}};
  return printers;
}

static int print_part(const ordered_json& state, const std::string& part, output_options output) {
  const auto printer = part_printers().find(part);
  if (printer == part_printers().end()) {
    print_wrapped("Unknown part " + part + "; see: camphorlugctl --help");
    return exit_invalid;
  }
  const ordered_json entries = part == "routes" && state["config"].is_object()
                                   ? state["config"]["routes"]
                                   : state.value(part, ordered_json::array());
  if (output.json) {
    std::cout << entries.dump() << "\n";
    return exit_ok;
  }
  for (const ordered_json& entry : entries)
    printer->second(entry);
  return exit_ok;
}

support::task<int> lift_ban(net::http_client& client, std::string address, std::string service,
                            std::string part) {
  net::client_request request;
  request.method = "POST";
  request.address = std::move(address);
  request.target = std::string(edge::lift_path) + "?service=" + service + "&part=" + part;
  try {
    const net::client_response response = co_await client.fetch(std::move(request), state_timeout);
    print_wrapped(response.status == 200
                      ? "Lifted " + part + (service.empty() ? "" : " of " + service)
                      : "Refused (" + std::to_string(response.status) + "): " + response.body);
    co_return response.status == 200 ? exit_ok : exit_refused;
  } catch (const net::transport_error& error) {
    print_wrapped(std::string("The outcome is not known: ") + error.what());
    co_return exit_unknown;
  }
}

support::task<int> show_edge(net::http_client& client, std::string address, std::string part,
                             output_options output) {
  net::client_request request;
  request.address = std::move(address);
  request.target = edge::state_path;
  request.limits = net::response_limits::bulk();
  ordered_json state;
  try {
    const net::client_response response = co_await client.fetch(std::move(request), state_timeout);
    if (response.status != 200) {
      print_wrapped("Refused (" + std::to_string(response.status) +
                    "): is --node the peer port of an edge node?");
      co_return exit_refused;
    }
    state = ordered_json::parse(response.body);
  } catch (const net::transport_error& error) {
    print_wrapped(std::string("No answer from the node: ") + error.what());
    co_return exit_unreachable;
  } catch (const nlohmann::json::exception& error) {
    print_wrapped(std::string("Malformed state report: ") + error.what());
    co_return exit_refused;
  }
  if (!part.empty())
    co_return print_part(state, part, output);
  if (output.json)
    std::cout << state.dump() << "\n";
  else
    print_overview(state);
  co_return exit_ok;
}

} // namespace camphorlug::ctl
