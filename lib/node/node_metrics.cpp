#include "camphorlug/node/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace camphorlug::node {

using prometheus::Histogram;
using requests::request_labels;

/// Upper bounds in seconds. They include the latency objectives for the first token and for the
/// gap between tokens.
static const Histogram::BucketBoundaries time_buckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.051, 0.1, 0.25, 0.5, 0.66, 1, 2.5, 5, 10, 30, 60, 300};

template<class Family>
static auto& register_family(Family builder, const char* name, const char* help,
                             prometheus::Registry& registry) {
  return builder.Name(name).Help(help).Register(registry);
}

struct node_metrics::families {
  prometheus::Registry registry;
  prometheus::Family<Histogram>& queue_time =
      register_family(prometheus::BuildHistogram(), "camphorlug_queue_seconds",
                      "Time in the admission queue", registry);
  prometheus::Family<Histogram>& first_token =
      register_family(prometheus::BuildHistogram(), "camphorlug_first_token_seconds",
                      "Time from a request's arrival to its first token", registry);
  prometheus::Family<Histogram>& inter_token =
      register_family(prometheus::BuildHistogram(), "camphorlug_inter_token_seconds",
                      "Time between tokens of one answer", registry);
  prometheus::Family<Histogram>& answer =
      register_family(prometheus::BuildHistogram(), "camphorlug_answer_seconds",
                      "Time from a request's arrival to its end", registry);
  prometheus::Family<prometheus::Counter>& requests = register_family(
      prometheus::BuildCounter(), "camphorlug_requests_total", "Requests by outcome", registry);
  prometheus::Family<prometheus::Counter>& attempts =
      register_family(prometheus::BuildCounter(), "camphorlug_attempts_total",
                      "Requests sent to targets", registry);
  prometheus::Family<prometheus::Counter>& resumed =
      register_family(prometheus::BuildCounter(), "camphorlug_streams_resumed_total",
                      "Broken streams that were taken up again", registry);
  prometheus::Family<prometheus::Gauge>& gauges = register_family(
      prometheus::BuildGauge(), "camphorlug_node", "Readings of this node", registry);
  prometheus::Family<prometheus::Gauge>& groups =
      register_family(prometheus::BuildGauge(), "camphorlug_groups",
                      "Groups that the document wants and that can serve", registry);
  prometheus::Family<prometheus::Gauge>& stranded =
      register_family(prometheus::BuildGauge(), "stranded_accelerators",
                      "Live accelerators in no serving group", registry);
  prometheus::Family<prometheus::Gauge>& downtime =
      register_family(prometheus::BuildGauge(), "group_downtime_seconds_total",
                      "Group-seconds short of the document while this node planned", registry);
};

static prometheus::Labels to_labels(const request_labels& labels) {
  return {{"service", labels.service},
          {"organisation", labels.organisation},
          {"class", labels.class_name}};
}

static void observe(prometheus::Family<Histogram>& histograms, const request_labels& labels,
                    std::chrono::nanoseconds value) {
  histograms.Add(to_labels(labels), time_buckets)
      .Observe(std::chrono::duration<double>(value).count());
}

node_metrics::node_metrics() : families_(std::make_unique<families>()) {}
node_metrics::~node_metrics() = default;

void node_metrics::on_queued(const request_labels& labels, std::chrono::nanoseconds waited) {
  observe(families_->queue_time, labels, waited);
}

void node_metrics::on_attempt(const request_labels& labels) {
  families_->attempts.Add(to_labels(labels)).Increment();
}

void node_metrics::on_first_token(const request_labels& labels, std::chrono::nanoseconds latency) {
  observe(families_->first_token, labels, latency);
}

void node_metrics::on_inter_token(const request_labels& labels, std::chrono::nanoseconds gap) {
  observe(families_->inter_token, labels, gap);
}

void node_metrics::on_resumed(const request_labels& labels) {
  families_->resumed.Add(to_labels(labels)).Increment();
}

void node_metrics::on_finished(const request_labels& labels, requests::request_outcome outcome,
                               std::chrono::nanoseconds total) {
  observe(families_->answer, labels, total);
  prometheus::Labels with_outcome = to_labels(labels);
  with_outcome["outcome"] = to_string(outcome);
  families_->requests.Add(with_outcome).Increment();
}

void node_metrics::set(const node_gauges& gauges) {
  const auto set_gauge = [this](const char* reading, double value) {
    families_->gauges.Add({{"reading", reading}}).Set(value);
  };
  set_gauge("waiting_requests", static_cast<double>(gauges.waiting_requests));
  set_gauge("watched_instances", static_cast<double>(gauges.watched_instances));
  set_gauge("live_peers", static_cast<double>(gauges.live_peers));
  set_gauge("isolated", gauges.isolated ? 1 : 0);
  set_gauge("store_reachable", gauges.store_reachable ? 1 : 0);
}

void node_metrics::set(const pool_gauges& gauges) {
  const auto set_gauge = [this, &gauges](const char* kind, std::size_t value) {
    families_->groups.Add({{"service", gauges.service}, {"kind", kind}})
        .Set(static_cast<double>(value));
  };
  set_gauge("wanted", gauges.wanted_groups);
  set_gauge("routable", gauges.routable_groups);
  families_->stranded.Add({{"service", gauges.service}})
      .Set(static_cast<double>(gauges.stranded_instances));
  families_->downtime.Add({{"service", gauges.service}}).Set(gauges.group_downtime_seconds);
}

std::string node_metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

} // namespace camphorlug::node
