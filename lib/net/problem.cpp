#include "camphorlug/net/problem.h"

#include "camphorlug/support/json_text.h"

#include <nlohmann/json.hpp>

namespace camphorlug::net {

void send_problem(response_writer& writer, const problem& error, header_list extra) {
  nlohmann::ordered_json body;
  body["type"] = error.type;
  body["status"] = error.status;
  body["detail"] = error.detail;
  extra.add("Content-Type", "application/problem+json");
  writer.send(error.status, std::move(extra), support::to_json_text(body) + "\n");
}

void send_json(response_writer& writer, int status, std::string body) {
  header_list headers;
  headers.add("Content-Type", "application/json");
  writer.send(status, std::move(headers), std::move(body));
}

} // namespace camphorlug::net
