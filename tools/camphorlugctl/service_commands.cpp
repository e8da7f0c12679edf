#include "service_commands.h"

#include "camphorlug/support/file_watcher.h"

#include "exit_code.h"
#include "screen.h"
#include "text_diff.h"

#include <charconv>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>

namespace camphorlug::ctl {

using nlohmann::ordered_json;

/// Total attempts for an edit whose outcome stays unknown; all carry the same edit id.
static constexpr int max_edit_attempts = 3;

/// Path of the file beside `file` that records the version fetched by `service edit`.
static std::string base_version_path(const std::string& file) {
  return file + ".seen";
}

static std::uint64_t read_base_version(const std::string& file) {
  const auto text = support::read_text_file(base_version_path(file));
  return text ? std::stoull(*text) : 0;
}

static std::optional<std::uint64_t> parse_version_number(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  if (read.ec != std::errc() || read.ptr != end)
    return std::nullopt;
  return number;
}

static int report_unreadable_file(const std::string& file) {
  print_wrapped("Cannot read " + file + ".");
  return exit_invalid;
}

static void print_errors(const ordered_json& errors) {
  for (const ordered_json& error : errors)
    print_wrapped("line " + error["line"].dump() + ": " + error["key"].get<std::string>() + " = " +
                  error["value"].get<std::string>() + ": allowed is " +
                  error["allowed"].get<std::string>());
}

service_commands::service_commands(operator_client& client, output_options output,
                                   std::string edit_id)
    : client_(client), output_(output), edit_id_(std::move(edit_id)) {}

support::task<int> service_commands::run(std::vector<std::string> arguments) {
  const std::string verb = arguments.empty() ? "list" : arguments[0];
  if (verb == "list")
    co_return co_await list();
  if (verb == "check" && arguments.size() == 2)
    co_return co_await check(arguments[1]);
  if (verb == "show" && arguments.size() == 2)
    co_return co_await show(arguments[1]);
  if (verb == "edit" && arguments.size() == 2)
    co_return co_await edit(arguments[1]);
  if (verb == "history" && arguments.size() == 2)
    co_return co_await history(arguments[1]);
  if (verb == "status" && arguments.size() == 2)
    co_return co_await status(arguments[1]);
  if (verb == "apply" && arguments.size() == 3)
    co_return co_await apply(arguments[1], arguments[2]);
  if (verb == "diff" && arguments.size() == 3)
    co_return co_await diff(arguments[1], arguments[2]);
  if (verb == "rollback" && arguments.size() == 3) {
    const std::optional<std::uint64_t> number = parse_version_number(arguments[2]);
    if (number)
      co_return co_await rollback(arguments[1], *number);
    print_wrapped("'" + arguments[2] + "' is not the number of a version.");
    co_return exit_invalid;
  }
  print_wrapped("Unknown service command; see: camphorlugctl --help");
  co_return exit_invalid;
}

support::task<int> service_commands::list() {
  const operator_response response = co_await client_.call("GET", "services");
  if (response.status != 200)
    co_return print_failure(response);
  if (output_.json)
    std::cout << response.body.dump() << "\n";
  else
    for (const ordered_json& each : response.body["services"])
      print_wrapped(each["service"].get<std::string>() + " version " + each["number"].dump() +
                    " by " + each["author"].get<std::string>() + ", " + each["targets"].dump() +
                    " targets");
  co_return exit_ok;
}

support::task<int> service_commands::show(std::string service) {
  const operator_response response = co_await client_.call("GET", "services/" + service);
  if (response.status != 200)
    co_return print_failure(response);
  if (output_.json)
    std::cout << response.body.dump() << "\n";
  else
    std::cout << response.body["text"].get<std::string>();
  co_return exit_ok;
}

support::task<int> service_commands::edit(std::string service) {
  const operator_response response = co_await client_.call("GET", "services/" + service);
  if (response.status != 200)
    co_return print_failure(response);
  const std::string file = service + ".toml";
  if (std::filesystem::exists(file)) {
    print_wrapped(file + " already exists. Apply it or move it first.");
    co_return exit_invalid;
  }
  std::ofstream(file) << response.body["text"].get<std::string>();
  std::ofstream(base_version_path(file)) << response.body["number"].get<std::uint64_t>();
  print_wrapped("Wrote version " + response.body["number"].dump() + " to " + file +
                ". Edit it, then run: camphorlugctl service apply " + service + " " + file);
  co_return exit_ok;
}

support::task<int> service_commands::apply(std::string service, std::string file) {
  const auto text = support::read_text_file(file);
  if (!text)
    co_return report_unreadable_file(file);
  const int code = co_await send_edit(service, *text, read_base_version(file), file);
  if (code == exit_ok)
    std::filesystem::remove(base_version_path(file));
  co_return code;
}

support::task<int> service_commands::check(std::string file) {
  const auto text = support::read_text_file(file);
  if (!text)
    co_return report_unreadable_file(file);
  const operator_response response = co_await client_.call("POST", "services/any/check", *text);
  if (response.status != 200)
    co_return print_failure(response);
  print_errors(response.body["errors"]);
  if (!response.body["valid"].get<bool>())
    co_return exit_invalid;
  print_wrapped("No errors.");
  co_return exit_ok;
}

support::task<int> service_commands::diff(std::string service, std::string file) {
  const auto text = support::read_text_file(file);
  if (!text)
    co_return report_unreadable_file(file);
  const operator_response response = co_await client_.call("GET", "services/" + service);
  if (response.status != 200)
    co_return print_failure(response);
  std::cout << diff_lines(response.body["text"], *text);
  co_return exit_ok;
}

support::task<int> service_commands::history(std::string service) {
  const operator_response response =
      co_await client_.call("GET", "services/" + service + "/history");
  if (response.status != 200)
    co_return print_failure(response);
  if (output_.json) {
    std::cout << response.body.dump() << "\n";
    co_return exit_ok;
  }
  for (const ordered_json& each : response.body["versions"])
    print_wrapped(each["number"].dump() + " " + each["written_at"].get<std::string>() + " " +
                  each["author"].get<std::string>());
  co_return exit_ok;
}

support::task<int> service_commands::rollback(std::string service, std::uint64_t number) {
  const operator_response response =
      co_await client_.call("GET", "services/" + service + "/history");
  if (response.status != 200)
    co_return print_failure(response);
  const ordered_json& versions = response.body["versions"];
  for (const ordered_json& each : versions) {
    if (each["number"] == number)
      co_return co_await send_edit(service, each["text"], versions.back()["number"], "");
  }
  print_wrapped("There is no version " + std::to_string(number) + " of " + service + ".");
  co_return exit_refused;
}

support::task<int> service_commands::status(std::string service) {
  const operator_response response =
      co_await client_.call("GET", "services/" + service + "/status");
  if (response.status != 200)
    co_return print_failure(response);
  if (output_.json)
    std::cout << response.body.dump() << "\n";
  else
    for (const ordered_json& each : response.body["nodes"])
      print_wrapped(each["node"].get<std::string>() + " has version " + each["number"].dump());
  co_return exit_ok;
}

support::task<int> service_commands::send_edit(std::string service, std::string text,
                                               std::uint64_t base_version,
                                               std::string edited_file) {
  const ordered_json body{{"text", text}, {"seen_number", base_version}, {"edit_id", edit_id_}};
  operator_response response;
  bool may_be_written = false;
  for (int attempt = 0; attempt < max_edit_attempts; ++attempt) {
    response = co_await client_.call("PUT", "services/" + service, body.dump());
    if (response.status != 504 && response.status != 0)
      break;
    may_be_written = true;
  }
  // That the last attempt wrote nothing says nothing about the ones before it.
  if (response.status == 503 && may_be_written)
    response.status = 504;
  if (output_.json && response.status != 0)
    std::cout << response.body.dump() << "\n";
  switch (response.status) {
  case 200:
    print_wrapped("Accepted as version " + response.body["current"]["number"].dump() + ".");
    co_return exit_ok;
  case 409:
    co_return co_await print_conflict(response.body["current"], text, edited_file);
  case 422:
    print_wrapped("Rejected; nothing was changed:");
    print_errors(response.body["errors"]);
    co_return exit_invalid;
  case 503:
    print_wrapped("Not written: the table service is not responding. Nothing was changed.");
    co_return exit_refused;
  case 0:
  case 504:
    print_wrapped("It is unknown whether the edit was accepted. Retry with --edit_id=" + edit_id_);
    co_return exit_unknown;
  default:
    co_return print_failure(response);
  }
}

support::task<int> service_commands::print_conflict(ordered_json current, std::string text,
                                                    std::string edited_file) {
  print_wrapped("Conflict: " + current["author"].get<std::string>() + " wrote version " +
                current["number"].dump() + " at " + current["written_at"].get<std::string>() +
                ". Differences from your text:");
  std::cout << diff_lines(current["text"], text);
  if (!edited_file.empty()) {
    print_wrapped("Your text is still in " + edited_file + ". To apply it on top of version " +
                  current["number"].dump() + ", write that number to " +
                  base_version_path(edited_file) + " and apply again.");
  }
  co_return exit_conflict;
}

} // namespace camphorlug::ctl
