#include "camphorlug/requests/buffered_response_sink.h"

#include "camphorlug/net/problem.h"
#include "camphorlug/requests/outcome_response.h"
#include "camphorlug/support/json_text.h"

#include <nlohmann/json.hpp>

namespace camphorlug::requests {

buffered_response_sink::buffered_response_sink(net::response_writer& writer, bool chat)
    : writer_(writer), chat_(chat) {}

support::task<bool> buffered_response_sink::event(std::string, std::string data, std::string text) {
  tokens_ += text.empty() ? 0 : 1;
  text_ += text;
  last_data_ = std::move(data);
  co_return true;
}

support::task<> buffered_response_sink::done() {
  const auto last = nlohmann::json::parse(last_data_);
  nlohmann::json choice{{"index", 0}};
  choice["finish_reason"] = last.at("choices").at(0).value("finish_reason", "stop");
  if (chat_)
    choice["message"] = {{"role", "assistant"}, {"content", text_}};
  else
    choice["text"] = text_;
  nlohmann::json body;
  body["id"] = last.value("id", "");
  body["object"] = chat_ ? "chat.completion" : "text_completion";
  body["model"] = last.value("model", "");
  body["choices"] = nlohmann::json::array({choice});
  body["usage"] = {{"completion_tokens", tokens_}};
  net::send_json(writer_, 200, support::to_json_text(body) + "\n");
  co_return;
}

support::task<> buffered_response_sink::fail(int status, request_outcome outcome, std::string type,
                                             std::string detail, std::chrono::seconds retry_after) {
  send_outcome(writer_, status, outcome, std::move(type), std::move(detail), retry_after);
  co_return;
}

} // namespace camphorlug::requests
