#include "camphorlug/support/file_watcher.h"
#include "camphorlug/support/virtual_clock.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

struct file_world {
  file_world() { write("a"); }
  ~file_world() {
    time.shut_down();
    std::filesystem::remove(path);
  }
  file_world(const file_world&) = delete;
  file_world& operator=(const file_world&) = delete;

  void write(const std::string& text) const { std::ofstream(path) << text; }

  std::string path =
      std::filesystem::temp_directory_path() / ("camphorlug-watched-" + std::to_string(getpid()));
  asio::io_context context;
  support::virtual_clock time{context};
  std::vector<std::string> seen;
  support::file_watcher file{time, path, "a",
                             [this](const std::string& text) { seen.push_back(text); }};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(change_without_a_signal_is_seen_once, file_world) {
  support::spawn(context.get_executor(), "follow", file.poll(2s));
  time.run_for(5s);
  BOOST_TEST(seen.empty());
  write("b");
  time.run_for(10s);
  BOOST_TEST(seen == std::vector<std::string>{"b"});
}

BOOST_FIXTURE_TEST_CASE(signal_looks_at_once, file_world) {
  BOOST_TEST(!file.check());
  write("b");
  BOOST_TEST(file.check());
  BOOST_TEST(!file.check());
  BOOST_TEST(seen == std::vector<std::string>{"b"});
}

BOOST_FIXTURE_TEST_CASE(missing_file_changes_nothing, file_world) {
  std::filesystem::remove(path);
  BOOST_TEST(!file.check());
  write("a");
  BOOST_TEST(!file.check());
  write("c");
  BOOST_TEST(file.check());
  BOOST_TEST(seen == std::vector<std::string>{"c"});
}

BOOST_FIXTURE_TEST_CASE(emptied_file_is_another_text, file_world) {
  write("");
  BOOST_TEST(file.check());
  BOOST_TEST(seen == std::vector<std::string>{""});
}
