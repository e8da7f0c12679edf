#include "camphorlug/net/curl_client.h"
#include "camphorlug/support/asio_clock.h"
#include "camphorlug/support/file_watcher.h"

#include "load_generator.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(plan, "", "path of the plan (TOML)");
DEFINE_bool(json, false, "print the report as JSON");

namespace camphorlug::load {

static constexpr int exit_bad_plan = 2;

static std::optional<load_plan> read_plan(const std::string& path) {
  support::config_errors errors;
  const std::optional<std::string> text = support::read_text_file(path);
  std::optional<load_plan> plan;
  if (text)
    plan = load_plan::parse(*text, path, errors);
  else
    errors.push_back({path, 0, "--plan", path, "the path of a readable file"});
  for (const support::config_error& error : errors)
    std::cerr << error.to_line() << "\n";
  return plan;
}

static support::task<> run_and_stop(load_generator& generator, asio::io_context& context) {
  co_await generator.run();
  context.stop();
}

static int run(int argc, char** argv) {
  gflags::SetUsageMessage("camphorlug-load --plan=FILE [--json]\n"
                          "Exit codes: 0 plan completed, 2 invalid plan.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto plan = read_plan(FLAGS_plan);
  if (!plan)
    return exit_bad_plan;
  asio::io_context context;
  support::asio_clock time(context);
  net::curl_client client(context, time);
  load_generator generator(context.get_executor(), client, time, *plan);
  support::spawn(context.get_executor(), "load", run_and_stop(generator, context));
  context.run();
  std::cout << (FLAGS_json ? generator.report().to_json(plan->duration)
                           : generator.report().to_text(plan->duration));
  return 0;
}

} // namespace camphorlug::load

int main(int argc, char** argv) {
  return camphorlug::load::run(argc, argv);
}
