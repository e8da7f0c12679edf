#include "fakes/fake_engine.h"

#include "generator.h"

#include <nlohmann/json.hpp>

namespace camphorlug::fakes {

std::string engine_event(const std::string& attempt, const fake_stream& stream, std::size_t index) {
  nlohmann::json choice{{"index", 0}, {"finish_reason", nullptr}};
  if (index < stream.wanted)
    choice["delta"] = {{"content", standins::token_text(stream.prompt, index)}};
  else
    choice = {{"index", 0}, {"delta", nlohmann::json::object()}, {"finish_reason", "stop"}};
  const nlohmann::json data{{"id", attempt}, {"choices", nlohmann::json::array({choice})}};
  return "id: " + attempt + ":" + std::to_string(index) + "\ndata: " + data.dump() + "\n\n";
}

std::string complete_text(const std::string& prompt, std::size_t tokens) {
  std::string text;
  for (std::size_t index = 0; index < tokens; ++index)
    text += standins::token_text(prompt, index);
  return text;
}

} // namespace camphorlug::fakes
