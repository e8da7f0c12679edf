#include "fakes/gateway_fixture.h"

namespace camphorlug::fakes {

using namespace std::chrono_literals;

static constexpr const char* request_id = "r1";

static gateway::route make_route(const char* prefix, gateway::request_kind kind, bool resumable,
                                 std::chrono::milliseconds timeout, std::size_t attempts = 2) {
  gateway::route result;
  result.name = prefix;
  result.host = "example";
  result.path_prefix = prefix;
  result.kind = kind;
  result.resumable = resumable;
  result.attempts = attempts;
  result.timeout = timeout;
  result.objective = 300ms;
  result.pause_objective = 200ms;
  result.services = {{"shop", 1}};
  return result;
}

gateway_fixture::gateway_fixture(std::chrono::milliseconds timeout)
    : gateway({clock,      random,       sender,       protocol,     config,  registry, queue,
               suspicions, notices,      crash_causes, trials,       retries, stalls,   demand,
               metrics,    usual_limits, first_parts,  second_tries, memory,  liveness},
              [this] { return shutdown; }) {
  auto first = std::make_shared<gateway::routing_config>();
  first->version = 1;
  first->has_organisations = true;
  first->keys["key"] = {"org", std::nullopt};
  first->add_route(make_route("/plain/", gateway::request_kind::idempotent, false, timeout));
  first->add_route(make_route("/once/", gateway::request_kind::non_idempotent, false, timeout));
  first->add_route(make_route("/stream/", gateway::request_kind::stream, true, timeout));
  first->add_route(make_route("/cut/", gateway::request_kind::stream, false, timeout));
  first->add_route(
      make_route("/single/", gateway::request_kind::non_idempotent, false, timeout, 1));
  config.update_if_newer(first);
  registry.add_listener([this] { queue.assign_free_slots(); });
}

gateway_fixture::~gateway_fixture() {
  clock.shut_down();
}

void gateway_fixture::add_target(const std::string& id, std::size_t slots) {
  gateway::target_entry entry;
  entry.id = id;
  entry.address = id;
  entry.service = "shop";
  entry.data_centre = "here";
  entry.slots = slots;
  registry.update(id, ++versions_, entry);
}

support::task<> gateway_fixture::run(net::server_request request, recording_writer& writer) {
  co_await gateway.handle(std::move(request), writer);
  --unfinished;
}

void gateway_fixture::begin(const std::string& path, recording_writer& writer,
                            std::chrono::milliseconds time_limit, std::optional<int> resume_after) {
  net::server_request request;
  request.method = "POST";
  request.path = path;
  request.headers.add("Host", "example");
  request.headers.add("Id", request_id);
  request.headers.add("Key", "key");
  request.headers.add("Patience", std::to_string(time_limit.count()));
  if (resume_after)
    request.headers.add("After", std::to_string(*resume_after));
  ++unfinished;
  support::spawn(context.get_executor(), "call", run(std::move(request), writer));
  clock.run_for(0ms);
}

std::unique_ptr<recording_writer> gateway_fixture::call(const std::string& path,
                                                        std::chrono::milliseconds time_limit) {
  auto writer = std::make_unique<recording_writer>();
  const std::size_t before = unfinished;
  begin(path, *writer, time_limit);
  while (unfinished > before)
    clock.run_for(5ms);
  return writer;
}

void gateway_fixture::answer(const std::string& target, scripted_answer script) {
  client.answers[target].push_back(std::move(script));
}

scripted_answer complete_answer(int status) {
  scripted_answer script;
  script.status = status;
  script.headers.add("Id", request_id);
  script.pieces = {"whole", " body"};
  return script;
}

scripted_answer refusal() {
  scripted_answer script;
  script.status = 503;
  script.headers.add("Not-Run", "1");
  script.pieces = {"full"};
  return script;
}

scripted_answer events(int first, int last, answer_ending end) {
  scripted_answer script;
  script.headers.add("Id", request_id);
  for (int id = first; id <= last; ++id)
    script.pieces.push_back("id: " + std::to_string(id) + "\ndata: x\n\n");
  script.end = end;
  return script;
}

} // namespace camphorlug::fakes
