#include "camphorlug/peers/peer_message.h"

#include <nlohmann/json.hpp>

namespace camphorlug::peers {

using nlohmann::json;

report_digest digest_of(const node_report& report) {
  return {report.id, report.incarnation, report.sequence, report.revision};
}

/// Encodes a number as text, since not all JSON implementations represent integers
/// above 2^53 exactly.
static std::string to_text(std::uint64_t number) {
  return std::to_string(number);
}

static std::uint64_t to_number(const json& text) {
  return std::stoull(text.get<std::string>());
}

static json encode(const node_report& report) {
  json documents = json::object();
  for (const auto& [service, number] : report.documents)
    documents[service] = number;
  return {{"id", report.id},
          {"addr", report.address},
          {"peer", report.peer_address},
          {"dc", report.data_centre},
          {"inc", to_text(report.incarnation)},
          {"seq", report.sequence},
          {"rev", report.revision},
          {"leaving", report.leaving},
          {"isolated", report.isolated},
          {"docs", documents}};
}

static node_report decode_report(const json& value) {
  node_report report;
  report.id = value.at("id");
  report.address = value.at("addr");
  report.peer_address = value.at("peer");
  report.data_centre = value.at("dc");
  report.incarnation = to_number(value.at("inc"));
  report.sequence = value.at("seq");
  report.revision = value.at("rev");
  report.leaving = value.at("leaving");
  report.isolated = value.at("isolated");
  for (const auto& [service, number] : value.at("docs").items())
    report.documents[service] = number;
  return report;
}

static json encode(const relayed_observation& observation) {
  const targets::instance_report& report = observation.report;
  return {report.instance, report.incarnation, report.group,   report.number,
          report.rank,     report.model,       report.version, report.ready,
          report.leaving,  report.running,     report.waiting, observation.age.count()};
}

static relayed_observation decode_observation(const json& value) {
  relayed_observation observation;
  targets::instance_report& report = observation.report;
  report.instance = value.at(0);
  report.incarnation = value.at(1);
  report.group = value.at(2);
  report.number = value.at(3);
  report.rank = value.at(4);
  report.model = value.at(5);
  report.version = value.at(6);
  report.ready = value.at(7);
  report.leaving = value.at(8);
  report.running = value.at(9);
  report.waiting = value.at(10);
  observation.age = std::chrono::milliseconds(value.at(11).get<std::int64_t>());
  return observation;
}

static json encode(const table::listed_instance& instance) {
  return {instance.id,          instance.address,
          instance.data_centre, instance.fabric_domain,
          instance.pool,        static_cast<int>(instance.role),
          instance.leaving};
}

static table::listed_instance decode_instance(const json& value) {
  table::listed_instance instance;
  instance.id = value.at(0);
  instance.address = value.at(1);
  instance.data_centre = value.at(2);
  instance.fabric_domain = value.at(3);
  instance.pool = value.at(4);
  instance.role = static_cast<table::instance_role>(value.at(5).get<int>());
  instance.leaving = value.at(6);
  return instance;
}

static json encode(const report_digest& digest) {
  return {digest.id, to_text(digest.incarnation), digest.sequence, digest.revision};
}

static report_digest decode_report_digest(const json& value) {
  return {value.at(0), to_number(value.at(1)), value.at(2), value.at(3)};
}

static json encode(const row_digest& digest) {
  return {digest.key, digest.version};
}

static row_digest decode_row_digest(const json& value) {
  return {value.at(0), value.at(1)};
}

static json encode(const table::row& row) {
  return {row.key, row.value, row.version};
}

static table::row decode_row(const json& value) {
  return {value.at(0), value.at(1), value.at(2)};
}

/// Adds `list` under `name` unless it is empty.
template<class Element>
static void put_list(json& message, const char* name, const std::vector<Element>& list) {
  if (list.empty())
    return;
  json encoded = json::array();
  for (const Element& each : list) {
    if constexpr (std::is_same_v<Element, std::string> || std::is_arithmetic_v<Element>)
      encoded.push_back(each);
    else
      encoded.push_back(encode(each));
  }
  message[name] = std::move(encoded);
}

template<class Element, class Decode>
static void read_list(const json& message, const char* name, std::vector<Element>& list,
                      Decode decode) {
  const auto found = message.find(name);
  if (found == message.end())
    return;
  for (const json& each : *found)
    list.push_back(decode(each));
}

std::string peer_message::to_json() const {
  json message{{"sender", encode(sender)}};
  put_list(message, "report_digests", report_digests);
  put_list(message, "reports", reports);
  put_list(message, "row_fingerprints", row_fingerprints);
  put_list(message, "row_digests", row_digests);
  put_list(message, "differing_buckets", differing_buckets);
  put_list(message, "wanted_rows", wanted_rows);
  put_list(message, "rows", rows);
  put_list(message, "missed_instances", missed_instances);
  put_list(message, "sightings", observations);
  put_list(message, "instances", instances);
  if (wants_instances)
    message["wants_instances"] = true;
  return message.dump(-1, ' ', false, json::error_handler_t::replace);
}

peer_message peer_message::from_json(const std::string& text) {
  try {
    const json value = json::parse(text);
    peer_message message;
    message.sender = decode_report(value.at("sender"));
    const auto as_is = [](const json& each) { return each; };
    read_list(value, "report_digests", message.report_digests, decode_report_digest);
    read_list(value, "reports", message.reports, decode_report);
    read_list(value, "row_fingerprints", message.row_fingerprints, as_is);
    read_list(value, "row_digests", message.row_digests, decode_row_digest);
    read_list(value, "differing_buckets", message.differing_buckets, as_is);
    read_list(value, "wanted_rows", message.wanted_rows, as_is);
    read_list(value, "rows", message.rows, decode_row);
    read_list(value, "missed_instances", message.missed_instances, as_is);
    read_list(value, "sightings", message.observations, decode_observation);
    read_list(value, "instances", message.instances, decode_instance);
    message.wants_instances = value.value("wants_instances", false);
    return message;
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("invalid peer message: ") + error.what());
  }
}

} // namespace camphorlug::peers
