#include "camphorlug/support/log_output.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <utility>

using camphorlug::support::log_output;

namespace {

struct pipe_fixture {
  pipe_fixture() {
    BOOST_REQUIRE(pipe(ends.data()) == 0);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::signal(SIGPIPE, SIG_IGN);
  }
  ~pipe_fixture() {
    for (const int end : ends)
      close(end);
  }

  /// Reads what the pipe holds.
  std::string read_all() const {
    std::string text;
    std::array<char, 4096> buffer{};
    for (;;) {
      const ssize_t size = read(ends[0], buffer.data(), buffer.size());
      if (size <= 0)
        return text;
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
  }

  std::array<int, 2> ends{};
};

const std::string line(999, 'x');

/// More than the pipe and the output hold.
constexpr std::size_t many_lines = 1000;

} // namespace

BOOST_FIXTURE_TEST_CASE(lines_are_written_in_order, pipe_fixture) {
  log_output output(ends[1]);
  BOOST_TEST(output.add("one"));
  BOOST_TEST(output.add("two"));
  BOOST_TEST(read_all().empty());
  output.flush();
  BOOST_TEST(read_all() == "one\ntwo\n");
  BOOST_TEST(output.take_dropped() == 0);
}

// The pipe is in blocking mode: a write that waits for the reader would never return.
BOOST_FIXTURE_TEST_CASE(lines_that_nobody_reads_are_dropped_without_waiting, pipe_fixture) {
  log_output output(ends[1]);
  std::size_t dropped = 0;
  for (std::size_t i = 0; i < many_lines; ++i)
    dropped += output.add(line) ? 0 : 1;
  output.flush();
  BOOST_TEST(dropped > 0);
  // There is no room for a line that reports them.
  BOOST_TEST(output.take_dropped() == 0);
  std::string text;
  for (std::string more = read_all(); !more.empty(); more = read_all()) {
    text += more;
    output.flush();
  }
  BOOST_TEST(output.take_dropped() == dropped);
  BOOST_TEST(output.take_dropped() == 0);
  BOOST_TEST(text.size() == (many_lines - dropped) * (line.size() + 1));
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') ==
             static_cast<std::ptrdiff_t>(many_lines - dropped));
}

BOOST_FIXTURE_TEST_CASE(lines_are_discarded_when_the_reader_has_ended, pipe_fixture) {
  log_output output(ends[1]);
  close(std::exchange(ends[0], dup(ends[1])));
  for (std::size_t i = 0; i < many_lines; ++i)
    BOOST_TEST(output.add(line));
  output.flush();
}
