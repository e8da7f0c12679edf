#include "camphorlug/table/http_table_store.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/json_text.h"
#include "camphorlug/table/store_error.h"

#include <nlohmann/json.hpp>

namespace camphorlug::table {

static constexpr std::chrono::milliseconds store_timeout{2000};

static row parse_row(const nlohmann::json& entry) {
  return {entry.at("key"), entry.at("value"), entry.at("version")};
}

static std::vector<row> parse_rows(const std::string& body) {
  std::vector<row> rows;
  const auto document = nlohmann::json::parse(body);
  for (const auto& entry : document.at("rows"))
    rows.push_back(parse_row(entry));
  return rows;
}

static std::string to_body(const transaction& change) {
  nlohmann::json body{{"checks", nlohmann::json::array()}, {"writes", nlohmann::json::array()}};
  for (const row_check& check : change.checks)
    body["checks"].push_back({{"key", check.key}, {"version", check.version}});
  for (const row_write& write : change.writes) {
    const nlohmann::json value = write.value ? nlohmann::json(*write.value) : nlohmann::json();
    body["writes"].push_back({{"key", write.key}, {"value", value}});
  }
  return support::to_json_text(body);
}

static commit_result parse_commit(const std::string& body) {
  const auto document = nlohmann::json::parse(body);
  commit_result result;
  result.committed = document.at("committed");
  if (result.committed)
    result.version = document.at("version");
  else
    result.current = parse_rows(body);
  return result;
}

http_table_store::http_table_store(net::http_client& client, std::string address)
    : client_(client), address_(std::move(address)) {}

support::task<std::vector<row>> http_table_store::scan(std::string prefix) {
  net::client_request request;
  request.address = address_;
  request.target = "/v1/rows?prefix=" + prefix;
  request.connection = net::connection_use::pooled;
  request.limits = net::response_limits::bulk();
  try {
    const net::client_response response = co_await client_.fetch(std::move(request), store_timeout);
    if (response.status != 200)
      throw store_error("table service returned HTTP status " + std::to_string(response.status),
                        false);
    co_return parse_rows(response.body);
  } catch (const net::transport_error& error) {
    throw store_error(error.what(), false);
  } catch (const nlohmann::json::exception& error) {
    throw store_error(error.what(), false);
  }
}

support::task<commit_result> http_table_store::commit(transaction change) {
  net::client_request request;
  request.method = "POST";
  request.address = address_;
  request.target = "/v1/transactions";
  request.body = to_body(change);
  request.limits = net::response_limits::bulk();
  try {
    const net::client_response response = co_await client_.fetch(std::move(request), store_timeout);
    if (response.status != 200 && response.status != 409)
      throw store_error("table service returned HTTP status " + std::to_string(response.status),
                        response.status >= 500 && response.status != 503);
    co_return parse_commit(response.body);
  } catch (const net::transport_error& error) {
    throw store_error(error.what(), error.progress() == net::request_progress::may_have_been_read);
  } catch (const nlohmann::json::exception& error) {
    throw store_error(error.what(), true);
  }
}

} // namespace camphorlug::table
