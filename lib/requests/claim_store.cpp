#include "camphorlug/requests/claim_store.h"

#include "camphorlug/support/digest.h"
#include "camphorlug/support/log.h"
#include "camphorlug/table/store_error.h"

#include <nlohmann/json.hpp>

namespace camphorlug::requests {

/// Larger responses are not recorded; a repeated request then gets `unknown`.
static constexpr std::size_t max_recorded_body = 64 * 1024;

static std::string claim_key(const claim& wanted) {
  return "claim/" + wanted.service + "/" + wanted.organisation + "/" +
         support::sha256_hex(wanted.idempotency_key);
}

static nlohmann::json claim_value(const claim& held, const char* state) {
  return {{"attempt", held.attempt}, {"content", held.content_hash}, {"state", state}};
}

static claim_result read_claim(const claim& wanted, const table::row& row) {
  const auto value = nlohmann::json::parse(row.value);
  if (value.at("attempt") == wanted.attempt)
    return {claim_state::owned, {}};
  if (value.at("content") != wanted.content_hash)
    return {claim_state::mismatch, {}};
  const std::string state = value.at("state");
  if (state == "running")
    return {claim_state::running, {}};
  if (state != "answered")
    return {claim_state::unknown, {}};
  return {claim_state::answered, {value.at("status"), value.at("content_type"), value.at("body")}};
}

claim_store::claim_store(table::table_store& store) : store_(store) {}

support::task<claim_result> claim_store::acquire(claim wanted) {
  bool response_lost = false;
  try {
    co_return co_await insert(wanted);
  } catch (const table::store_error& error) {
    response_lost = error.may_have_committed();
  }
  if (!response_lost)
    co_return claim_result{claim_state::unavailable, {}};
  co_return co_await read_back(std::move(wanted));
}

support::task<claim_result> claim_store::insert(claim wanted) {
  const std::string key = claim_key(wanted);
  table::transaction change;
  change.checks.push_back({key, 0});
  change.writes.push_back({key, claim_value(wanted, "running").dump()});
  const table::commit_result result = co_await store_.commit(std::move(change));
  if (result.committed)
    co_return claim_result{claim_state::owned, {}};
  co_return read_claim(wanted, result.current.at(0));
}

support::task<claim_result> claim_store::read_back(claim wanted) {
  try {
    const auto row = co_await store_.read(claim_key(wanted));
    if (row)
      co_return read_claim(wanted, *row);
  } catch (const table::store_error&) {
    // It is unknown whether the claim was stored, but the request was not sent.
  }
  co_return claim_result{claim_state::unavailable, {}};
}

support::task<> claim_store::update_owned(claim held, std::optional<std::string> value) {
  const std::string key = claim_key(held);
  try {
    const auto row = co_await store_.read(key);
    if (!row || read_claim(held, *row).state != claim_state::owned)
      co_return;
    table::transaction change;
    change.checks.push_back({key, row->version});
    change.writes.push_back({key, std::move(value)});
    co_await store_.commit(std::move(change));
  } catch (const table::store_error& error) {
    support::log_event(support::log_level::warning, "claim_not_settled",
                       {{"organisation", held.organisation}, {"error", error.what()}});
  }
}

support::task<> claim_store::record_response(claim held, recorded_response response) {
  auto value = claim_value(held, "unknown");
  if (response.status != 0 && response.body.size() <= max_recorded_body) {
    value["state"] = "answered";
    value["status"] = response.status;
    value["content_type"] = response.content_type;
    value["body"] = response.body;
  }
  co_await update_owned(std::move(held),
                        value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

support::task<> claim_store::release(claim held) {
  co_await update_owned(std::move(held), std::nullopt);
}

} // namespace camphorlug::requests
