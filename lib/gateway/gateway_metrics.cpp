#include "camphorlug/gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace camphorlug::gateway {

/// Bucket bounds in seconds, densest around the objectives of 0.1 to 0.5 s.
static const prometheus::Histogram::BucketBoundaries first_byte_bounds{0.025, 0.05, 0.1, 0.2, 0.3,
                                                                       0.4,   0.5,  1,   2,   6};
/// Maximum number of routes with their own label. Further routes share one label, so that a growing
/// configuration does not increase the number of time series.
static constexpr std::size_t max_labelled_routes = 20;

struct gateway_metrics::implementation {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter()
                                                          .Name("camphorlug_gateway_requests_total")
                                                          .Help("Requests by route and outcome")
                                                          .Register(registry);
  prometheus::Family<prometheus::Counter>& retries =
      prometheus::BuildCounter()
          .Name("camphorlug_gateway_retries_total")
          .Help("Sendings beyond the first of a request, by reason")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& silences =
      prometheus::BuildCounter()
          .Name("camphorlug_gateway_silences_total")
          .Help("Requests sent to a further target because of a silence, by which target went on")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& stream_ends =
      prometheus::BuildCounter()
          .Name("camphorlug_gateway_stream_ends_total")
          .Help(
              "Streams that ended regularly, by how the end was marked and whether the target had "
              "resumed them")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& second_tries =
      prometheus::BuildCounter()
          .Name("camphorlug_gateway_second_tries_total")
          .Help("Second tries of slow requests: started, won (answered first), lost (the first "
                "target did)")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& notices =
      prometheus::BuildCounter()
          .Name("camphorlug_gateway_notices_total")
          .Help("What targets newly said about themselves in their responses")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& cold_waits =
      prometheus::BuildCounter()
          .Name("camphorlug_gateway_cold_waits_total")
          .Help("Requests held back or refused while a cold target had a free slot")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& first_byte =
      prometheus::BuildHistogram()
          .Name("camphorlug_gateway_first_byte_seconds")
          .Help("Time from a whole request to the first byte of its answer")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& gauges = prometheus::BuildGauge()
                                                      .Name("camphorlug_gateway_state")
                                                      .Help("What this process knows and holds")
                                                      .Register(registry);
  std::map<std::string, std::string> labels;

  std::string label_of(const std::string& route) {
    const auto found = labels.find(route);
    if (found != labels.end())
      return found->second;
    if (labels.size() >= max_labelled_routes)
      return "other";
    return labels[route] = route;
  }
};

gateway_metrics::gateway_metrics() : implementation_(std::make_unique<implementation>()) {}
gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::count_request(const std::string& route, const std::string& outcome,
                                    std::chrono::nanoseconds first_byte) {
  const std::string label = implementation_->label_of(route);
  implementation_->requests.Add({{"route", label}, {"outcome", outcome}}).Increment();
  implementation_->first_byte.Add({{"route", label}}, first_byte_bounds)
      .Observe(std::chrono::duration<double>(first_byte).count());
}

void gateway_metrics::count_retry(const std::string& reason) {
  implementation_->retries.Add({{"reason", reason}}).Increment();
}

void gateway_metrics::count_stream_end(const std::string& end, bool resumed) {
  implementation_->stream_ends.Add({{"end", end}, {"resumed", resumed ? "yes" : "no"}}).Increment();
}

void gateway_metrics::count_silence(const std::string& outcome) {
  implementation_->silences.Add({{"outcome", outcome}}).Increment();
}

void gateway_metrics::count_second_try(const std::string& event) {
  implementation_->second_tries.Add({{"event", event}}).Increment();
}

void gateway_metrics::count_notice(const std::string& notice) {
  implementation_->notices.Add({{"notice", notice}}).Increment();
}

void gateway_metrics::count_cold_wait(const std::string& outcome) {
  implementation_->cold_waits.Add({{"outcome", outcome}}).Increment();
}

std::string gateway_metrics::serialize(const gateway_gauges& gauges) {
  const auto set = [this](const char* name, double value) {
    implementation_->gauges.Add({{"value", name}}).Set(value);
  };
  set("waiting_requests", static_cast<double>(gauges.waiting_requests));
  set("scheduled_requests", static_cast<double>(gauges.scheduled_requests));
  set("known_targets", static_cast<double>(gauges.known_targets));
  set("live_peers", static_cast<double>(gauges.live_peers));
  set("config_version", static_cast<double>(gauges.config_version));
  set("store_era", static_cast<double>(gauges.store_era));
  set("config_staleness_seconds", std::chrono::duration<double>(gauges.config_staleness).count());
  set("target_staleness_seconds", std::chrono::duration<double>(gauges.target_staleness).count());
  set("evacuated_data_centres", static_cast<double>(gauges.evacuated_data_centres));
  set("cold_targets", static_cast<double>(gauges.cold_targets));
  set("held_bytes", static_cast<double>(gauges.held_bytes));
  set("held_bytes_limit", static_cast<double>(gauges.held_bytes_limit));
  set("memory_denials", static_cast<double>(gauges.memory_denials));
  set("held_members", static_cast<double>(gauges.held_members));
  set("leads", gauges.leads ? 1 : 0);
  set("open_connections", static_cast<double>(gauges.open_connections));
  set("idle_connections", static_cast<double>(gauges.idle_connections));
  set("connection_limit", static_cast<double>(gauges.connection_limit));
  set("connections_closed_for_room", static_cast<double>(gauges.connections_closed_for_room));
  set("refused_connections", static_cast<double>(gauges.refused_connections));
  set("accept_errors", static_cast<double>(gauges.accept_errors));
  return prometheus::TextSerializer().Serialize(implementation_->registry.Collect());
}

} // namespace camphorlug::gateway
