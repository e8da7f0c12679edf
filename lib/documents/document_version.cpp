#include "camphorlug/documents/document_version.h"

#include <nlohmann/json.hpp>

namespace camphorlug::documents {

std::string document_version::to_json() const {
  const nlohmann::json value{{"service", service}, {"number", number}, {"text", text},
                             {"edit_id", edit_id}, {"author", author}, {"written_at", written_at}};
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

document_version document_version::from_json(const std::string& json) {
  try {
    const auto value = nlohmann::json::parse(json);
    return {value.at("service"), value.at("number"), value.at("text"),
            value.at("edit_id"), value.at("author"), value.at("written_at")};
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(std::string("not a document version: ") + error.what());
  }
}

} // namespace camphorlug::documents
