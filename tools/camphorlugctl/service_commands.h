#pragma once

#include "operator_client.h"
#include "view_commands.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::ctl {

/// Implements the subcommands of `camphorlugctl service`.
class service_commands {
public:
  service_commands(operator_client& client, output_options output, std::string edit_id);

  /// `arguments` are the subcommand and its own arguments. Returns the exit code.
  support::task<int> run(std::vector<std::string> arguments);

private:
  support::task<int> list();
  support::task<int> show(std::string service);
  support::task<int> edit(std::string service);
  support::task<int> apply(std::string service, std::string file);
  support::task<int> check(std::string file);
  support::task<int> diff(std::string service, std::string file);
  support::task<int> history(std::string service);
  support::task<int> rollback(std::string service, std::uint64_t number);
  support::task<int> status(std::string service);
  support::task<int> send_edit(std::string service, std::string text, std::uint64_t base_version,
                               std::string edited_file);
  support::task<int> print_conflict(nlohmann::ordered_json current, std::string text,
                                    std::string edited_file);

  operator_client& client_;
  output_options output_;
  std::string edit_id_;
};

} // namespace camphorlug::ctl
