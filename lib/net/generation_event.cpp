#include "camphorlug/net/generation_event.h"

#include <nlohmann/json.hpp>

namespace camphorlug::net {

static std::string text_field(const nlohmann::json& object, const char* name) {
  const auto field = object.find(name);
  return field != object.end() && field->is_string() ? field->get<std::string>() : "";
}

generation_event generation_event::parse(const std::string& data) {
  generation_event parsed;
  const auto value = nlohmann::json::parse(data, nullptr, false);
  if (!value.is_object() || !value.contains("choices") || value["choices"].empty())
    return parsed;
  const nlohmann::json& choice = value["choices"][0];
  const auto finish = choice.find("finish_reason");
  parsed.is_last = finish != choice.end() && !finish->is_null();
  const auto delta = choice.find("delta");
  parsed.text = delta != choice.end() && delta->is_object() ? text_field(*delta, "content")
                                                            : text_field(choice, "text");
  return parsed;
}

} // namespace camphorlug::net
