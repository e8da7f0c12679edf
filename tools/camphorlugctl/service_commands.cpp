#include "service_commands.h"

#include "camphorlug/support/file_watcher.h"

#include "exit_code.h"
#include "screen.h"
#include "text_diff.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>

namespace camphorlug::ctl {

using nlohmann::ordered_json;

/// Times that an edit with an unknown end is asked for again.
static constexpr int settle_tries = 3;

/// The version that `service edit` fetched is kept beside the file.
static std::string seen_path(const std::string& file) {
  return file + ".seen";
}

static std::uint64_t read_seen(const std::string& file) {
  const auto text = support::read_text_file(seen_path(file));
  return text ? std::stoull(*text) : 0;
}

static int missing_file(const std::string& file) {
  print_folded("Cannot read " + file + ".");
  return exit_usage;
}

static void print_errors(const ordered_json& errors) {
  for (const ordered_json& error : errors)
    print_folded("line " + error["line"].dump() + ": " + error["key"].get<std::string>() + " = " +
                 error["value"].get<std::string>() + ": allowed is " +
                 error["allowed"].get<std::string>());
}

service_commands::service_commands(operator_client& client, output_options output,
                                   std::string edit_id)
    : client_(client), output_(output), edit_id_(std::move(edit_id)) {}

support::task<int> service_commands::run(std::vector<std::string> words) {
  const std::string verb = words.empty() ? "list" : words[0];
  if (verb == "list")
    co_return co_await list();
  if (verb == "check" && words.size() == 2)
    co_return co_await check(words[1]);
  if (verb == "show" && words.size() == 2)
    co_return co_await show(words[1]);
  if (verb == "edit" && words.size() == 2)
    co_return co_await edit(words[1]);
  if (verb == "history" && words.size() == 2)
    co_return co_await history(words[1]);
  if (verb == "status" && words.size() == 2)
    co_return co_await status(words[1]);
  if (verb == "apply" && words.size() == 3)
    co_return co_await apply(words[1], words[2]);
  if (verb == "diff" && words.size() == 3)
    co_return co_await diff(words[1], words[2]);
  if (verb == "rollback" && words.size() == 3)
    co_return co_await rollback(words[1], std::stoull(words[2]));
  print_folded("Not a service command; see: camphorlugctl --help");
  co_return exit_usage;
}

support::task<int> service_commands::list() {
  const operator_answer answer = co_await client_.ask("GET", "services");
  if (answer.status != 200)
    co_return print_failure(answer);
  if (output_.json)
    std::cout << answer.body.dump() << "\n";
  else
    for (const ordered_json& each : answer.body["services"])
      print_folded(each["service"].get<std::string>() + " version " + each["number"].dump() +
                   " by " + each["author"].get<std::string>() + ", " + each["targets"].dump() +
                   " targets");
  co_return exit_ok;
}

support::task<int> service_commands::show(std::string service) {
  const operator_answer answer = co_await client_.ask("GET", "services/" + service);
  if (answer.status != 200)
    co_return print_failure(answer);
  if (output_.json)
    std::cout << answer.body.dump() << "\n";
  else
    std::cout << answer.body["text"].get<std::string>();
  co_return exit_ok;
}

support::task<int> service_commands::edit(std::string service) {
  const operator_answer answer = co_await client_.ask("GET", "services/" + service);
  if (answer.status != 200)
    co_return print_failure(answer);
  const std::string file = service + ".toml";
  if (std::filesystem::exists(file)) {
    print_folded(file + " is here already. Apply it, or move it away first.");
    co_return exit_usage;
  }
  std::ofstream(file) << answer.body["text"].get<std::string>();
  std::ofstream(seen_path(file)) << answer.body["number"].get<std::uint64_t>();
  print_folded("Version " + answer.body["number"].dump() + " is in " + file +
               ". Change it, then: camphorlugctl service apply " + service + " " + file);
  co_return exit_ok;
}

support::task<int> service_commands::apply(std::string service, std::string file) {
  const auto text = support::read_text_file(file);
  if (!text)
    co_return missing_file(file);
  const int code = co_await send_edit(service, *text, read_seen(file), file);
  if (code == exit_ok)
    std::filesystem::remove(seen_path(file));
  co_return code;
}

support::task<int> service_commands::check(std::string file) {
  const auto text = support::read_text_file(file);
  if (!text)
    co_return missing_file(file);
  const operator_answer answer = co_await client_.ask("POST", "services/any/check", *text);
  if (answer.status != 200)
    co_return print_failure(answer);
  print_errors(answer.body["errors"]);
  if (!answer.body["valid"].get<bool>())
    co_return exit_usage;
  print_folded("No faults.");
  co_return exit_ok;
}

support::task<int> service_commands::diff(std::string service, std::string file) {
  const auto text = support::read_text_file(file);
  if (!text)
    co_return missing_file(file);
  const operator_answer answer = co_await client_.ask("GET", "services/" + service);
  if (answer.status != 200)
    co_return print_failure(answer);
  std::cout << diff_lines(answer.body["text"], *text);
  co_return exit_ok;
}

support::task<int> service_commands::history(std::string service) {
  const operator_answer answer = co_await client_.ask("GET", "services/" + service + "/history");
  if (answer.status != 200)
    co_return print_failure(answer);
  if (output_.json) {
    std::cout << answer.body.dump() << "\n";
    co_return exit_ok;
  }
  for (const ordered_json& each : answer.body["versions"])
    print_folded(each["number"].dump() + " " + each["written_at"].get<std::string>() + " " +
                 each["author"].get<std::string>());
  co_return exit_ok;
}

support::task<int> service_commands::rollback(std::string service, std::uint64_t number) {
  const operator_answer answer = co_await client_.ask("GET", "services/" + service + "/history");
  if (answer.status != 200)
    co_return print_failure(answer);
  const ordered_json& versions = answer.body["versions"];
  for (const ordered_json& each : versions) {
    if (each["number"] == number)
      co_return co_await send_edit(service, each["text"], versions.back()["number"], "");
  }
  print_folded("There is no version " + std::to_string(number) + " of " + service + ".");
  co_return exit_refused;
}

support::task<int> service_commands::status(std::string service) {
  const operator_answer answer = co_await client_.ask("GET", "services/" + service + "/status");
  if (answer.status != 200)
    co_return print_failure(answer);
  if (output_.json)
    std::cout << answer.body.dump() << "\n";
  else
    for (const ordered_json& each : answer.body["nodes"])
      print_folded(each["node"].get<std::string>() + " has version " + each["number"].dump());
  co_return exit_ok;
}

support::task<int> service_commands::send_edit(std::string service, std::string text,
                                               std::uint64_t seen, std::string kept_in) {
  const ordered_json body{{"text", text}, {"seen_number", seen}, {"edit_id", edit_id_}};
  operator_answer answer;
  for (int tries = 0; tries < settle_tries; ++tries) {
    answer = co_await client_.ask("PUT", "services/" + service, body.dump());
    if (answer.status != 504 && answer.status != 0)
      break;
  }
  if (output_.json && answer.status != 0)
    std::cout << answer.body.dump() << "\n";
  switch (answer.status) {
  case 200:
    print_folded("Accepted as version " + answer.body["current"]["number"].dump() + ".");
    co_return exit_ok;
  case 409:
    co_return co_await explain_conflict(answer.body["current"], text, kept_in);
  case 422:
    print_folded("Not accepted; nothing was changed:");
    print_errors(answer.body["errors"]);
    co_return exit_usage;
  case 503:
    print_folded("Not written: the table service does not answer. Nothing was changed.");
    co_return exit_refused;
  case 0:
  case 504:
    print_folded("Not known whether it was accepted. Ask again with --edit_id=" + edit_id_);
    co_return exit_unknown;
  default:
    co_return print_failure(answer);
  }
}

support::task<int> service_commands::explain_conflict(ordered_json current, std::string text,
                                                      std::string kept_in) {
  print_folded("Not accepted: " + current["author"].get<std::string>() + " wrote version " +
               current["number"].dump() + " at " + current["written_at"].get<std::string>() +
               ". The difference to yours:");
  std::cout << diff_lines(current["text"], text);
  if (!kept_in.empty()) {
    print_folded("Your text is kept in " + kept_in + ". To put it on top of version " +
                 current["number"].dump() + ", write that number into " + seen_path(kept_in) +
                 " and apply again.");
  }
  co_return exit_conflict;
}

} // namespace camphorlug::ctl
