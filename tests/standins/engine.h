#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/net/http_server.h"
#include "camphorlug/support/notification.h"
#include "camphorlug/targets/instance_order.h"

#include "fault_injector.h"

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace camphorlug::standins {

/// Settings of the stand-in engine, set from its flags.
struct engine_settings {
  std::string id;
  std::string address;
  std::string fault_address;
  std::string platform;
  std::string data_centre;
  std::string fabric_domain;
  std::string pool;
  bool checks_numbers = true;
  int slots = 16;
  std::chrono::milliseconds load_time{1000};
  std::chrono::milliseconds token_time{10};
  std::chrono::microseconds prefill_per_block{2000};
  std::size_t cache_blocks = 4096;
  std::chrono::milliseconds report_lag{0};
};

/// Simulates an instance of a model engine, which is one rank of a group. Rank 0 serves
/// requests and makes progress only while it reaches all other ranks.
class engine {
public:
  engine(asio::io_context& context, support::clock& time, net::http_client& client,
         engine_settings settings);

private:
  struct stream;
  struct load_sample {
    support::clock::time_point at;
    std::size_t running = 0;
    std::size_t waiting = 0;
  };

  support::task<> handle_request(net::server_request request, net::response_writer& writer);
  support::task<> handle_completion(net::server_request request, net::response_writer& writer);
  support::task<> resume(net::server_request request, net::response_writer& writer);
  support::task<> send_events(std::shared_ptr<stream> from, std::size_t index,
                              std::uint64_t connection, net::response_writer& writer);
  support::task<> send_complete_response(std::shared_ptr<stream> from,
                                         net::response_writer& writer);
  support::task<> generate(std::shared_ptr<stream> work);
  support::task<> acquire_slot(std::shared_ptr<stream> work);
  support::task<> load(std::uint64_t number);
  support::task<> watch_members();
  support::task<> send_heartbeats();
  support::task<> sample_load();
  void handle_order(const net::server_request& request, net::response_writer& writer);
  void send_report(net::response_writer& writer);
  std::size_t access_prefix_cache(const std::string& prompt);
  std::string event(const stream& from, std::size_t index) const;
  std::string log() const;
  void start_fault(const std::string& kind, std::int64_t seconds);
  load_sample reported_load() const;

  asio::io_context& context_;
  support::clock& clock_;
  net::http_client& client_;
  engine_settings settings_;
  std::string incarnation_;

  std::string group_;
  std::uint64_t order_number_ = 0;
  std::size_t rank_ = 0;
  std::vector<targets::group_member> members_;
  std::string model_;
  std::string version_;
  bool ready_ = false;
  bool members_reachable_ = true;

  std::map<std::string, std::shared_ptr<stream>> streams_;
  std::deque<std::uint64_t> cache_;
  std::deque<load_sample> load_samples_;
  int running_ = 0;
  int waiting_ = 0;
  nlohmann::json executed_ = nlohmann::json::array();
  nlohmann::json orders_ = nlohmann::json::array();
  fault_injector faults_;
  net::http_server server_;
};

} // namespace camphorlug::standins
