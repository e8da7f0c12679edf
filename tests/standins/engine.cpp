#include "engine.h"

#include "camphorlug/net/problem.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/digest.h"

#include "generator.h"

#include <algorithm>
#include <thread>

namespace camphorlug::standins {

static constexpr std::chrono::milliseconds heartbeat_interval{500};
static constexpr std::chrono::milliseconds member_interval{300};
static constexpr std::chrono::milliseconds member_timeout{600};
static constexpr std::chrono::milliseconds poll_interval{2};
/// How long a completed stream can still be resumed.
static constexpr std::chrono::seconds stream_retention{30};

/// One generation. It continues even while no connection reads it.
struct engine::stream {
  std::string attempt;
  std::string prompt;
  std::size_t first = 0;
  std::size_t token_limit = 0;
  std::size_t generated = 0;
  int priority = 0;
  bool cancelled = false;
  bool done = false;
};

engine::engine(asio::io_context& context, support::clock& time, net::http_client& client,
               engine_settings settings)
    : context_(context), clock_(time), client_(client), settings_(std::move(settings)),
      incarnation_(std::to_string(time.wall_time().time_since_epoch().count())),
      faults_(
          context, time, settings_.fault_address, [this] { return log(); },
          [this](const std::string& kind, std::int64_t seconds) { start_fault(kind, seconds); }),
      server_(context, settings_.address,
              [this](net::server_request request, net::response_writer& writer) {
                return handle_request(std::move(request), writer);
              }) {
  support::spawn(context.get_executor(), "heartbeat", send_heartbeats());
  support::spawn(context.get_executor(), "members", watch_members());
  support::spawn(context.get_executor(), "counts", sample_load());
}

void engine::start_fault(const std::string& kind, std::int64_t seconds) {
  if (kind == "die")
    std::_Exit(1);
  if (kind == "freeze")
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
}

std::string engine::log() const {
  return nlohmann::json{{"executed", executed_}, {"orders", orders_}}.dump() + "\n";
}

support::task<> engine::send_heartbeats() {
  for (;;) {
    const nlohmann::json self{{"id", settings_.id},
                              {"address", settings_.address},
                              {"data_centre", settings_.data_centre},
                              {"fabric_domain", settings_.fabric_domain},
                              {"pool", settings_.pool},
                              {"role", "runner"},
                              {"leaving", faults_.active("leave")}};
    net::client_request request;
    request.method = "PUT";
    request.address = settings_.platform;
    request.target = "/v1/instances/" + settings_.id;
    request.body = self.dump();
    try {
      co_await client_.fetch(std::move(request), heartbeat_interval);
    } catch (const net::transport_error&) {
      // The platform may be down; the next heartbeat retries.
    }
    co_await clock_.sleep_for(heartbeat_interval);
  }
}

support::task<> engine::watch_members() {
  for (;;) {
    co_await clock_.sleep_for(member_interval);
    if (rank_ != 0 || group_.empty())
      continue;
    bool all_reachable = true;
    const auto members = members_;
    for (const targets::group_member& member : members) {
      if (member.instance == settings_.id)
        continue;
      net::client_request request;
      request.address = member.address;
      request.target = "/v1/report";
      request.connection = net::connection_use::pooled;
      try {
        const auto response = co_await client_.fetch(std::move(request), member_timeout);
        const auto report = nlohmann::json::parse(response.body);
        all_reachable = all_reachable && report.at("group") == group_;
      } catch (const std::exception&) {
        all_reachable = false;
      }
    }
    members_reachable_ = all_reachable;
  }
}

support::task<> engine::sample_load() {
  static constexpr std::chrono::milliseconds sample_interval{100};
  for (;;) {
    load_samples_.push_back(
        {clock_.now(), static_cast<std::size_t>(running_), static_cast<std::size_t>(waiting_)});
    while (load_samples_.size() > 1 && clock_.now() - load_samples_[1].at >= settings_.report_lag)
      load_samples_.pop_front();
    co_await clock_.sleep_for(sample_interval);
  }
}

engine::load_sample engine::reported_load() const {
  if (settings_.report_lag == std::chrono::milliseconds(0) || load_samples_.empty())
    return {clock_.now(), static_cast<std::size_t>(running_), static_cast<std::size_t>(waiting_)};
  return load_samples_.front();
}

support::task<> engine::handle_request(net::server_request request, net::response_writer& writer) {
  if (!faults_.is_responsive(request.connection_id))
    co_await clock_.sleep_for(std::chrono::hours(1));
  if (request.path == "/v1/report")
    send_report(writer);
  else if (request.path == "/v1/orders")
    handle_order(request, writer);
  else if (request.path.starts_with("/v1/streams/"))
    co_await resume(std::move(request), writer);
  else if (request.path == "/v1/chat/completions" || request.path == "/v1/completions")
    co_await handle_completion(std::move(request), writer);
  else
    net::send_problem(writer, {404, "unknown-path", request.path});
}

void engine::send_report(net::response_writer& writer) {
  const load_sample load = reported_load();
  const nlohmann::json report{{"instance", settings_.id},
                              {"incarnation", incarnation_},
                              {"group", group_},
                              {"number", order_number_},
                              {"rank", rank_},
                              {"model", model_},
                              {"version", version_},
                              {"ready", ready_},
                              {"leaving", faults_.active("leave")},
                              {"running", load.running},
                              {"waiting", load.waiting}};
  net::send_json(writer, 200, report.dump());
}

void engine::handle_order(const net::server_request& request, net::response_writer& writer) {
  const auto order = nlohmann::json::parse(request.body);
  const std::uint64_t number = order.at("number");
  const std::string action = order.at("action");
  if (settings_.checks_numbers && number < order_number_) {
    net::send_problem(writer, {409, "old-number", "obeyed " + std::to_string(order_number_)});
    return;
  }
  orders_.push_back({{"action", action},
                     {"group", order.at("group")},
                     {"number", number},
                     {"rank", order.at("rank")},
                     {"at_ms", clock_.now().time_since_epoch() / std::chrono::milliseconds(1)}});
  order_number_ = number;
  if (action == "release") {
    group_.clear();
    members_.clear();
    net::send_json(writer, 200, "{\"accepted\":true}\n");
    return;
  }
  const bool has_shard = ready_ && version_ == order.at("version").get<std::string>() &&
                         model_ == order.at("model").get<std::string>() &&
                         rank_ == order.at("rank").get<std::size_t>();
  group_ = order.at("group");
  rank_ = order.at("rank");
  model_ = order.at("model");
  version_ = order.at("version");
  members_.clear();
  for (const auto& member : order.at("members"))
    members_.push_back({member.at("instance"), member.at("address")});
  if (!has_shard) {
    ready_ = false;
    support::spawn(context_.get_executor(), "load", load(number));
  }
  net::send_json(writer, 200, "{\"accepted\":true}\n");
}

support::task<> engine::load(std::uint64_t number) {
  net::client_request request;
  request.address = settings_.platform;
  request.target = "/v1/weights?milliseconds=" + std::to_string(settings_.load_time.count());
  try {
    co_await client_.fetch(std::move(request), std::chrono::minutes(10));
  } catch (const net::transport_error&) {
    co_return;
  }
  if (number == order_number_)
    ready_ = true;
}

std::size_t engine::access_prefix_cache(const std::string& prompt) {
  const auto blocks = prefix_blocks(prompt);
  std::size_t hits = 0;
  for (std::size_t i = 0; i < blocks.size(); ++i) {
    const auto held = std::find(cache_.begin(), cache_.end(), blocks[i]);
    if (held != cache_.end()) {
      hits += hits == i ? 1 : 0;
      cache_.erase(held);
    }
    cache_.push_back(blocks[i]);
  }
  while (cache_.size() > settings_.cache_blocks)
    cache_.pop_front();
  return hits;
}

support::task<> engine::handle_completion(net::server_request request,
                                          net::response_writer& writer) {
  const bool is_for_current_group =
      request.headers.find("Group").value_or("") == group_ &&
      request.headers.find("Group-Number").value_or("") == std::to_string(order_number_);
  if (faults_.active("refuse") || !is_for_current_group || !ready_ || rank_ != 0) {
    net::send_problem(writer, {faults_.active("refuse") ? 503 : 409, "refused", "not run"});
    co_return;
  }
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (body.is_discarded()) {
    net::send_problem(writer, {400, "bad-json", "the body is not JSON"});
    co_return;
  }
  auto work = std::make_shared<stream>();
  work->attempt = request.headers.find("Attempt-Id").value_or("");
  const nlohmann::json none;
  work->prompt = body.contains("messages") ? body["messages"].dump() : body.value("prompt", "");
  work->first = body.contains("continue") ? body["continue"].value("tokens", std::size_t{0}) : 0;
  work->token_limit = body.value("max_tokens", std::size_t{16});
  work->priority = std::stoi(request.headers.find("Priority").value_or("0"));
  work->generated = work->first;
  executed_.push_back({{"attempt_id", work->attempt},
                       {"idempotency_key", request.headers.find("Idempotency-Key").value_or("")},
                       {"path", request.path},
                       {"body_sha256", support::sha256_hex(request.body)},
                       {"group", group_},
                       {"number", order_number_},
                       {"at_ms", clock_.now().time_since_epoch() / std::chrono::milliseconds(1)}});
  streams_[work->attempt] = work;
  support::spawn(context_.get_executor(), "generate", generate(work));
  if (body.value("stream", false))
    co_await send_events(work, work->first, request.connection_id, writer);
  else
    co_await send_complete_response(work, writer);
}

support::task<> engine::acquire_slot(std::shared_ptr<stream> work) {
  ++waiting_;
  while (running_ >= settings_.slots && !work->cancelled)
    co_await clock_.sleep_for(poll_interval);
  --waiting_;
  ++running_;
}

support::task<> engine::generate(std::shared_ptr<stream> work) {
  co_await acquire_slot(work);
  const std::size_t blocks = prefix_blocks(work->prompt).size();
  const std::size_t cached = access_prefix_cache(work->prompt);
  co_await clock_.sleep_for(settings_.prefill_per_block * (blocks - cached + 1));
  while (work->generated < work->token_limit && !work->cancelled) {
    const auto factor = faults_.active("slow") ? faults_.parameter("slow", "factor", 10) : 1;
    co_await clock_.sleep_for(settings_.token_time * factor);
    // Collective operations block while a member of the group is missing.
    if (members_reachable_)
      ++work->generated;
  }
  --running_;
  work->done = true;
  co_await clock_.sleep_for(stream_retention);
  streams_.erase(work->attempt);
}

std::string engine::event(const stream& from, std::size_t index) const {
  nlohmann::json data;
  data["id"] = from.attempt;
  data["object"] = "chat.completion.chunk";
  data["model"] = model_;
  nlohmann::json choice{{"index", 0}, {"finish_reason", nullptr}};
  if (index < from.token_limit)
    choice["delta"] = {{"content", token_text(from.prompt, index)}};
  else
    choice = {{"index", 0}, {"delta", nlohmann::json::object()}, {"finish_reason", "stop"}};
  data["choices"] = nlohmann::json::array({choice});
  const std::string id = faults_.active("cross") ? "another" : from.attempt;
  return "id: " + id + ":" + std::to_string(index) + "\ndata: " + data.dump() + "\n\n";
}

support::task<> engine::send_events(std::shared_ptr<stream> from, std::size_t index,
                                    std::uint64_t connection, net::response_writer& writer) {
  net::header_list headers;
  headers.add("Content-Type", "text/event-stream");
  headers.add("Attempt-Id", from->attempt);
  writer.start(200, std::move(headers));
  while (index <= from->token_limit) {
    const bool is_available = index < from->generated || (index == from->token_limit && from->done);
    if (!is_available || !faults_.is_responsive(connection)) {
      if (from->cancelled)
        break;
      co_await clock_.sleep_for(poll_interval);
      continue;
    }
    const bool written = co_await writer.write(event(*from, index));
    if (!written)
      co_return;
    ++index;
  }
  co_await writer.write("data: [DONE]\n\n");
  writer.finish();
}

support::task<> engine::send_complete_response(std::shared_ptr<stream> from,
                                               net::response_writer& writer) {
  while (!from->done)
    co_await clock_.sleep_for(poll_interval);
  if (faults_.active("late"))
    co_await clock_.sleep_for(
        std::chrono::milliseconds(faults_.parameter("late", "milliseconds", 10'000)));
  std::string text;
  for (std::size_t index = from->first; index < from->token_limit; ++index)
    text += token_text(from->prompt, index);
  nlohmann::json body{{"id", from->attempt}, {"object", "chat.completion"}, {"model", model_}};
  body["choices"] = nlohmann::json::array({{{"index", 0},
                                            {"message", {{"role", "assistant"}, {"content", text}}},
                                            {"finish_reason", "stop"}}});
  body["usage"] = {{"completion_tokens", from->token_limit - from->first}};
  net::header_list headers;
  headers.add("Content-Type", "application/json");
  headers.add("Attempt-Id", faults_.active("cross") ? "another" : from->attempt);
  writer.send(200, std::move(headers), body.dump() + "\n");
}

support::task<> engine::resume(net::server_request request, net::response_writer& writer) {
  const std::string attempt = request.path.substr(request.path.rfind('/') + 1);
  const auto found = streams_.find(attempt);
  if (found == streams_.end()) {
    net::send_problem(writer, {404, "unknown-stream", attempt});
    co_return;
  }
  const std::shared_ptr<stream> work = found->second;
  if (request.method == "DELETE") {
    work->cancelled = true;
    net::send_json(writer, 200, "{}\n");
    co_return;
  }
  co_await send_events(work, std::stoul(request.query_value("from").value_or("0")),
                       request.connection_id, writer);
}

} // namespace camphorlug::standins
