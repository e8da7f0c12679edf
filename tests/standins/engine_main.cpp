#include "camphorlug/net/curl_client.h"
#include "camphorlug/support/asio_clock.h"

#include "engine.h"

#include <gflags/gflags.h>

DEFINE_string(id, "runner-1", "instance id");
DEFINE_string(address, "127.0.0.1:7200", "ip:port of the engine");
DEFINE_string(fault_address, "127.0.0.1:7201", "ip:port of the fault injection server");
DEFINE_string(platform, "127.0.0.1:7100", "ip:port of the platform");
DEFINE_string(data_centre, "dc-1", "data centre");
DEFINE_string(fabric_domain, "fabric-1", "fabric domain");
DEFINE_string(pool, "runners", "pool of the instance");
DEFINE_bool(checks_numbers, true, "reject orders with a stale number");
DEFINE_int32(slots, 16, "maximum number of concurrent requests");
DEFINE_int32(load_ms, 1000, "time to load a shard, in milliseconds");
DEFINE_int32(token_ms, 10, "time between tokens, in milliseconds");
DEFINE_int32(prefill_us, 2000, "prefill time of one prompt block, in microseconds");
DEFINE_int32(cache_blocks, 4096, "capacity of the prefix cache, in blocks");
DEFINE_int32(report_lag_ms, 0, "age of the reported load, in milliseconds");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  camphorlug::standins::engine_settings settings;
  settings.id = FLAGS_id;
  settings.address = FLAGS_address;
  settings.fault_address = FLAGS_fault_address;
  settings.platform = FLAGS_platform;
  settings.data_centre = FLAGS_data_centre;
  settings.fabric_domain = FLAGS_fabric_domain;
  settings.pool = FLAGS_pool;
  settings.checks_numbers = FLAGS_checks_numbers;
  settings.slots = FLAGS_slots;
  settings.load_time = std::chrono::milliseconds(FLAGS_load_ms);
  settings.token_time = std::chrono::milliseconds(FLAGS_token_ms);
  settings.prefill_per_block = std::chrono::microseconds(FLAGS_prefill_us);
  settings.cache_blocks = FLAGS_cache_blocks;
  settings.report_lag = std::chrono::milliseconds(FLAGS_report_lag_ms);
  asio::io_context context;
  camphorlug::support::asio_clock clock(context);
  camphorlug::net::curl_client client(context, clock);
  camphorlug::standins::engine engine(context, clock, client, settings);
  context.run();
}
