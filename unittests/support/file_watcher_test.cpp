#include "camphorlug/support/file_watcher.h"
#include "camphorlug/support/virtual_clock.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

struct file_fixture {
  file_fixture() { write("a"); }
  ~file_fixture() {
    time.shut_down();
    std::filesystem::remove(path);
  }
  file_fixture(const file_fixture&) = delete;
  file_fixture& operator=(const file_fixture&) = delete;

  void write(const std::string& text) const { std::ofstream(path) << text; }

  std::string path = std::filesystem::temp_directory_path() /
                     ("camphorlug-file-watcher-" + std::to_string(getpid()));
  asio::io_context context;
  support::virtual_clock time{context};
  std::vector<std::string> reported;
  support::file_watcher watcher{time, path, "a",
                                [this](const std::string& text) { reported.push_back(text); }};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(polling_reports_a_change_once, file_fixture) {
  support::spawn(context.get_executor(), "poll", watcher.poll(2s));
  time.run_for(5s);
  BOOST_TEST(reported.empty());
  write("b");
  time.run_for(10s);
  BOOST_TEST(reported == std::vector<std::string>{"b"});
}

BOOST_FIXTURE_TEST_CASE(check_reports_a_change_immediately, file_fixture) {
  BOOST_TEST(!watcher.check());
  write("b");
  BOOST_TEST(watcher.check());
  BOOST_TEST(!watcher.check());
  BOOST_TEST(reported == std::vector<std::string>{"b"});
}

BOOST_FIXTURE_TEST_CASE(missing_file_is_not_a_change, file_fixture) {
  std::filesystem::remove(path);
  BOOST_TEST(!watcher.check());
  write("a");
  BOOST_TEST(!watcher.check());
  write("c");
  BOOST_TEST(watcher.check());
  BOOST_TEST(reported == std::vector<std::string>{"c"});
}

BOOST_FIXTURE_TEST_CASE(emptied_file_is_a_change, file_fixture) {
  write("");
  BOOST_TEST(watcher.check());
  BOOST_TEST(reported == std::vector<std::string>{""});
}
