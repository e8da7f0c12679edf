#include "base64.h"
#include "store_client.h"

#include "camphorlug/support/virtual_clock.h"
#include "camphorlug/table/store_error.h"

#include "fakes/scripted_client.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <random>
#include <set>

// Guards against RECOVER: a key of another writer that is put into a URL as it is ends all reads of
// its table.

using namespace camphorlug;
using namespace std::chrono_literals;
using nlohmann::json;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t max_key_bytes = 200;

std::string percent_decode(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%') {
      bytes += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      bytes += text[i];
    }
  }
  return bytes;
}

/// Returns the decoded value of a field of a query; empty if there is none.
std::string query_field(std::string_view target, const std::string& name) {
  std::string_view query = target.substr(std::min(target.find('?') + 1, target.size()));
  while (!query.empty()) {
    const std::string_view field = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), field.size() + 1));
    if (field.starts_with(name + "="))
      return percent_decode(field.substr(name.size() + 1));
  }
  return "";
}

/// A store with one table that answers in pages. It refuses URLs as an HTTP client does.
class paged_store final : public net::http_client {
public:
  paged_store(support::clock& time, std::set<std::string> keys, std::size_t page_size)
      : keys_(std::move(keys)), page_size_(page_size), client_(time) {}

  std::unique_ptr<net::http_exchange> open(net::client_request request) override {
    fakes::scripted_answer answer;
    answer.refused = std::any_of(request.target.begin(), request.target.end(),
                                 [](char each) { return each <= ' ' || each == '#'; });
    answer.pieces = {page_from(query_field(request.target, "from")).dump()};
    client_.answers[request.address].push_back(std::move(answer));
    return client_.open(std::move(request));
  }

private:
  json page_from(const std::string& first) const {
    json rows = json::array();
    auto next = keys_.lower_bound(first);
    for (; next != keys_.end() && rows.size() < page_size_; ++next)
      rows.push_back({{"key", *next}, {"ver", 1}, {"value", platform::to_base64("x")}});
    return {{"ver", 1}, {"rows", rows}, {"hasMore", next != keys_.end()}};
  }

  std::set<std::string> keys_;
  std::size_t page_size_;
  fakes::scripted_client client_;
};

std::set<std::string> random_keys(int seed) {
  static const std::vector<std::string> characters = {
      "a", "Z", "7", "-",  ".",  "/",  " ",   "&",      "+",      "#",      "%",
      "?", "=", ";", "\"", "\\", "\t", "%20", "&from=", "\u00e9", "\u6f22", "\U0001f600"};
  std::mt19937 random(seed);
  std::set<std::string> keys;
  const std::size_t count = 1 + random() % 60;
  while (keys.size() < count) {
    const std::size_t length = 1 + random() % max_key_bytes;
    std::string key;
    for (std::size_t next = random() % characters.size();
         key.size() + characters[next].size() <= length; next = random() % characters.size())
      key += characters[next];
    if (!key.empty())
      keys.insert(key);
  }
  return keys;
}

} // namespace

BOOST_DATA_TEST_CASE(tables_with_arbitrary_keys_are_read_whole,
                     data::xrange(1, 26) * data::make({1, 2, 7, 500}), seed, page_size) {
  asio::io_context context;
  support::virtual_clock clock{context};
  const std::set<std::string> keys = random_keys(seed);
  paged_store tables(clock, keys, static_cast<std::size_t>(page_size));
  platform::store_client store(tables, "10.0.0.1:1");
  std::set<std::string> read;
  bool failed = false;
  const auto run = [&]() -> support::task<> {
    try {
      const table::feed_batch batch = co_await store.read_all("t");
      for (const table::feed_row& row : batch.rows)
        read.insert(row.key);
    } catch (const table::store_error&) {
      failed = true;
    }
  };
  support::spawn(context.get_executor(), "read", run());
  clock.run_for(10s);
  BOOST_TEST(!failed);
  BOOST_TEST((read == keys));
  clock.shut_down();
}
