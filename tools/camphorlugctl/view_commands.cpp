#include "view_commands.h"

#include "exit_code.h"
#include "screen.h"

#include <iostream>

namespace camphorlug::ctl {

using nlohmann::ordered_json;

int print_failure(const operator_response& response) {
  const std::string detail = response.body.is_object()
                                 ? response.body.value("detail", "no reason given")
                                 : "no reason given";
  if (response.status == 0) {
    print_wrapped("No answer from the node: " + detail);
    return exit_unreachable;
  }
  print_wrapped("Refused (" + std::to_string(response.status) + "): " + detail);
  return exit_refused;
}

static std::string flag_suffix(bool value, const char* when_true) {
  return value ? std::string(" ") + when_true : "";
}

static void print_planner(const ordered_json& planner) {
  print_wrapped(planner["service"].get<std::string>() + ": " + planner["routable_groups"].dump() +
                " of " + planner["wanted_groups"].dump() + " groups, stranded accelerators " +
                planner["stranded_accelerators"].dump());
  print_wrapped("  leader " + planner["leader"].get<std::string>());
  const std::string waits_for = planner["waits_for"];
  if (!waits_for.empty())
    print_wrapped("  waiting: " + waits_for);
}

support::task<int> show_status(operator_client& client, output_options output) {
  const operator_response response = co_await client.call("GET", "status");
  if (response.status != 200)
    co_return print_failure(response);
  if (output.json) {
    std::cout << response.body.dump() << "\n";
    co_return exit_ok;
  }
  const ordered_json& body = response.body;
  print_wrapped(body["node"].get<std::string>() + " in " + body["data_centre"].get<std::string>() +
                (body["serves"].get<bool>() ? " serves" : " does not serve") +
                flag_suffix(body["isolated"], "ISOLATED") +
                flag_suffix(body["leaving"], "leaving"));
  for (const ordered_json& peer : body["peers"])
    print_wrapped("  " + peer["node"].get<std::string>() +
                  flag_suffix(peer["isolated"], "ISOLATED") +
                  flag_suffix(peer["leaving"], "leaving"));
  for (const ordered_json& planner : body["planners"])
    print_planner(planner);
  co_return exit_ok;
}

static void print_group(const ordered_json& group) {
  const std::string obstacle = group["obstacle"];
  print_wrapped(group["group"].get<std::string>() + " " + group["state"].get<std::string>() + " " +
                group["version"].get<std::string>() + " " +
                group["fabric_domain"].get<std::string>() +
                flag_suffix(!obstacle.empty(), "NOT ROUTED"));
  if (!obstacle.empty())
    print_wrapped("  " + obstacle);
}

support::task<int> show_groups(operator_client& client, output_options output) {
  const operator_response response = co_await client.call("GET", "groups");
  if (response.status != 200)
    co_return print_failure(response);
  if (output.json) {
    std::cout << response.body.dump() << "\n";
    co_return exit_ok;
  }
  for (const ordered_json& group : response.body["groups"])
    print_group(group);
  co_return exit_ok;
}

support::task<int> explain_group(operator_client& client, std::string group,
                                 output_options output) {
  const operator_response response = co_await client.call("GET", "groups");
  if (response.status != 200)
    co_return print_failure(response);
  for (const ordered_json& each : response.body["groups"]) {
    if (each["group"] != group)
      continue;
    if (output.json) {
      std::cout << each.dump() << "\n";
      co_return exit_ok;
    }
    print_group(each);
    print_wrapped("last step: " + each["reason"].get<std::string>());
    for (const ordered_json& member : each["members"])
      print_wrapped("  " + member.get<std::string>());
    co_return exit_ok;
  }
  print_wrapped("No group is named " + group + "; see: camphorlugctl groups");
  co_return exit_refused;
}

} // namespace camphorlug::ctl
