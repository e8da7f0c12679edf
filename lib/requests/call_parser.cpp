#include "camphorlug/requests/call_parser.h"

#include "camphorlug/net/bearer_key.h"
#include "camphorlug/requests/caller_error.h"
#include "camphorlug/support/digest.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace camphorlug::requests {

static constexpr std::string_view services_prefix = "/services/";
/// Number of leading prompt characters that determine the affinity of a request
/// without a system message. Requests with a common preamble are assumed to share
/// at least that many.
static constexpr std::size_t affinity_prefix_length = 1024;
/// Request bytes that are estimated to cost as much engine time as one generated
/// token.
static constexpr double request_bytes_per_generated_token = 64;
static constexpr std::size_t default_max_tokens = 256;
static constexpr std::chrono::milliseconds max_deadline{86'400'000};

[[noreturn]] static void refuse(int status, std::string type, std::string detail) {
  throw caller_error({status, std::move(type), std::move(detail)});
}

call_parser::call_parser(const documents::document_view& documents, support::clock& time,
                         std::string stream_key)
    : documents_(documents), time_(time), stream_key_(std::move(stream_key)) {}

call call_parser::parse(net::server_request request) const {
  call parsed;
  parsed.began = time_.now();
  const std::string rest = request.path.substr(services_prefix.size());
  const std::size_t slash = rest.find('/');
  parsed.labels.service = rest.substr(0, slash);
  parsed.path = slash == std::string::npos ? "/" : rest.substr(slash);
  parsed.request = std::move(request);
  parsed.in_force = documents_.find(parsed.labels.service);
  if (!parsed.in_force)
    refuse(404, "unknown-service", "no service is called '" + parsed.labels.service + "'");
  authenticate(parsed);
  read_class(parsed);
  read_deadline(parsed);
  read_idempotency(parsed);
  parsed.affinity = support::fast_hash(parsed.labels.organisation);
  parsed.admission = {
      parsed.labels.class_name, parsed.labels.organisation, 1, parsed.deadline,
      support::fast_hash(parsed.labels.organisation + parsed.path + parsed.request.body)};
  if (parsed.document().model)
    read_model_body(parsed);
  read_position(parsed);
  return parsed;
}

void call_parser::authenticate(call& parsed) const {
  const std::optional<std::string> key = net::bearer_key(parsed.request.headers);
  if (!key)
    refuse(401, "no-key", "send the organisation's key as 'Authorization: Bearer KEY'");
  const std::string hash = support::sha256_hex(*key);
  if (const documents::organisation* caller = parsed.document().find_by_key_hash(hash)) {
    parsed.labels.organisation = caller->name;
    parsed.labels.class_name = caller->default_class;
    return;
  }
  for (const auto& other : documents_.all()) {
    if (other->document.find_by_key_hash(hash))
      refuse(403, "other-organisation", "this key's organisation may not call this service");
  }
  refuse(401, "wrong-key", "the key is not known; ask the service's operators for one");
}

void call_parser::read_class(call& parsed) const {
  const auto wanted = parsed.request.headers.find("Camphorlug-Class");
  const std::string name = wanted.value_or(parsed.labels.class_name);
  const documents::request_class* found = parsed.document().find_class(name);
  if (!found)
    refuse(400, "unknown-class", "the service has no class '" + name + "'");
  parsed.labels.class_name = found->name;
  parsed.priority = found->priority;
  parsed.deadline = parsed.began + found->deadline;
}

void call_parser::read_deadline(call& parsed) const {
  const auto wanted = parsed.request.headers.find("Camphorlug-Deadline-Ms");
  if (!wanted)
    return;
  std::int64_t milliseconds = 0;
  const char* end = wanted->data() + wanted->size();
  const auto read = std::from_chars(wanted->data(), end, milliseconds);
  if (read.ec != std::errc() || read.ptr != end || milliseconds < 1 ||
      milliseconds > max_deadline.count())
    refuse(400, "bad-deadline", "Camphorlug-Deadline-Ms is a whole number from 1 to 86400000");
  parsed.deadline = parsed.began + std::chrono::milliseconds(milliseconds);
}

void call_parser::read_idempotency(call& parsed) const {
  parsed.idempotency_key = parsed.request.headers.find("Idempotency-Key").value_or("");
  const std::string word = parsed.request.headers.find("Camphorlug-Idempotent").value_or("true");
  if (word != "true" && word != "false")
    refuse(400, "bad-idempotent", "Camphorlug-Idempotent is true or false");
  parsed.idempotent = word == "true" && !parsed.document().is_non_idempotent(parsed.path);
}

/// Returns the leading part of a prompt, which determines which engines may
/// hold its KV cache blocks.
static std::string prompt_prefix_of(const nlohmann::json& body) {
  if (body.contains("messages") && body["messages"].is_array() && !body["messages"].empty()) {
    const nlohmann::json& first = body["messages"][0];
    // Callers may send a role that is no text.
    if (first.is_object() && first.contains("role") && first["role"] == "system")
      return first.dump();
    return first.dump().substr(0, affinity_prefix_length);
  }
  if (body.contains("prompt"))
    return body["prompt"].dump().substr(0, affinity_prefix_length);
  return {};
}

/// Whether the relay can collect and continue the generation that the body
/// requests.
static bool is_relayable_generation(const nlohmann::json& body) {
  for (const char* field : {"tools", "functions", "logprobs", "best_of"}) {
    if (body.contains(field))
      return false;
  }
  return !body.contains("n") || body["n"] == 1;
}

void call_parser::read_model_body(call& parsed) const {
  const bool is_generation =
      parsed.path == "/v1/chat/completions" || parsed.path == "/v1/completions";
  if (!is_generation || parsed.request.method != "POST")
    return;
  const auto body = nlohmann::json::parse(parsed.request.body, nullptr, false);
  if (body.is_discarded() || !body.is_object())
    refuse(400, "bad-json", "the body is not a JSON object");
  const char* required = parsed.path == "/v1/completions" ? "prompt" : "messages";
  if (!body.contains(required))
    refuse(400, "missing-field", std::string("the body has no '") + required + "'");
  const auto number_field = [&body](const char* name, std::size_t fallback) {
    if (!body.contains(name))
      return fallback;
    if (!body[name].is_number_unsigned())
      refuse(400, "bad-field", std::string("'") + name + "' is a whole number, 0 or more");
    return body[name].get<std::size_t>();
  };
  if (body.contains("stream") && !body["stream"].is_boolean())
    refuse(400, "bad-field", "'stream' is true or false");
  parsed.chat = parsed.path == "/v1/chat/completions";
  parsed.wants_stream = body.value("stream", false);
  parsed.relayed = is_relayable_generation(body);
  parsed.affinity = support::fast_hash(parsed.labels.organisation + prompt_prefix_of(body));
  parsed.admission.cost =
      static_cast<double>(number_field("max_tokens", default_max_tokens)) +
      static_cast<double>(parsed.request.body.size()) / request_bytes_per_generated_token;
}

void call_parser::read_position(call& parsed) const {
  const auto token = parsed.request.headers.find("Last-Event-ID");
  if (!token)
    return;
  const auto position = verify_position(*token, stream_key_);
  if (!position || !parsed.relayed)
    refuse(400, "bad-event-id", "Last-Event-ID is not the id of an event of such a stream");
  if (position->organisation != parsed.labels.organisation ||
      position->service != parsed.labels.service)
    refuse(403, "other-organisation", "Last-Event-ID belongs to another caller's stream");
  parsed.resume_after = position;
}

} // namespace camphorlug::requests
