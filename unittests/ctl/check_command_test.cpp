#include "camphorlug/gateway/routing_config.h"
#include "camphorlug/support/virtual_clock.h"

#include "check_command.h"
#include "exit_code.h"
#include "fakes/scripted_client.h"
#include "platform_row_decoder.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const char* const sound = R"({"version":2,"routes":[{"host":"a","pathPrefix":"/","timeoutMs":900,
  "backend":"s"}],"services":[{"name":"s"}]})";
const char* const unsound = R"({"version":2,"routes":[{"host":"a","pathPrefix":"/",
  "timeoutMs":900,"backend":"other"}],"services":[{"name":"s"}]})";

/// A file that holds `text` while the object lives.
class temporary_file {
public:
  explicit temporary_file(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("camphorlug-check-" + std::to_string(::getpid()) + ".json")) {
    std::ofstream(path_) << text;
  }
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;
  ~temporary_file() { std::filesystem::remove(path_); }
  std::string path() const { return path_.string(); }

private:
  std::filesystem::path path_;
};

/// What the command line and the node say, and the exit code.
struct check_case {
  const char* file_text;
  const char* against;
  int node_status;
  const char* node_text;
  int code;
};

std::ostream& operator<<(std::ostream& out, const check_case& each) {
  return out << each.against << " " << each.node_status << " exits " << each.code;
}

const check_case check_cases[] = {
    {sound, "", 0, "", ctl::exit_ok},
    {unsound, "", 0, "", ctl::exit_invalid},
    {"{", "", 0, "", ctl::exit_invalid},
    {sound, "in-force", 200, unsound, ctl::exit_ok},
    {sound, "in-force", 200, "{", ctl::exit_invalid},
    {sound, "in-force", 404, "", ctl::exit_refused},
    {sound, "/no/such/file", 0, "", ctl::exit_invalid},
};

support::task<> run(net::http_client& client, ctl::check_options options,
                    std::optional<int>& code) {
  code = co_await ctl::check_config_file(client, std::move(options),
                                         platform::platform_row_decoder::parse_config, {false});
}

} // namespace

BOOST_DATA_TEST_CASE(exit_code_of_check, data::make(check_cases), each) {
  asio::io_context context;
  support::virtual_clock clock(context);
  fakes::scripted_client client(clock);
  if (each.node_status != 0) {
    fakes::scripted_answer answer;
    answer.status = each.node_status;
    answer.pieces = {each.node_text};
    client.answers["n0:2"].push_back(answer);
  }
  const temporary_file file(each.file_text);
  std::optional<int> code;
  support::spawn(context.get_executor(), "check",
                 run(client, {file.path(), each.against, "n0:2"}, code));
  clock.run_for(20s);
  clock.shut_down();
  BOOST_REQUIRE(code.has_value());
  BOOST_TEST(*code == each.code);
}
