#include "camphorlug/support/unknown_fields.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::support {

using nlohmann::json;

unknown_fields read_unknown_fields(const json& object,
                                   std::initializer_list<std::string_view> known) {
  unknown_fields fields;
  for (const auto& [name, value] : object.items()) {
    if (std::find(known.begin(), known.end(), name) == known.end())
      fields[name] = value.dump();
  }
  return fields;
}

void write_unknown_fields(json& object, const unknown_fields& fields) {
  for (const auto& [name, text] : fields) {
    if (!object.contains(name))
      object[name] = json::parse(text);
  }
}

static json merge_values(json held, const json& other) {
  if (!held.is_object() || !other.is_object())
    return held < other ? other : held;
  for (const auto& [name, value] : other.items()) {
    const auto found = held.find(name);
    held[name] = found == held.end() ? value : merge_values(*found, value);
  }
  return held;
}

void merge_unknown_fields(unknown_fields& fields, const unknown_fields& other) {
  for (const auto& [name, text] : other) {
    const auto [held, is_new] = fields.try_emplace(name, text);
    if (!is_new && held->second != text)
      held->second = merge_values(json::parse(held->second), json::parse(text)).dump();
  }
}

std::string read_unknown_elements(const json& array, std::size_t known) {
  json elements = json::array();
  for (std::size_t i = known; i < array.size(); ++i)
    elements.push_back(array[i]);
  return elements.empty() ? "" : elements.dump();
}

void write_unknown_elements(json& array, const std::string& elements) {
  if (elements.empty())
    return;
  json added = json::parse(elements);
  for (json& each : added)
    array.push_back(std::move(each));
}

} // namespace camphorlug::support
