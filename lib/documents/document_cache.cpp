#include "camphorlug/documents/document_cache.h"

#include "camphorlug/documents/parse_document.h"
#include "camphorlug/support/log.h"

namespace camphorlug::documents {

document_cache::document_cache(table::row_cache& rows) {
  for (const table::row* present : rows.find_by_prefix(document_prefix))
    apply_row(*present);
  rows.add_listener([this](const table::row& changed) { apply_row(changed); });
}

std::shared_ptr<const active_document> document_cache::find(const std::string& service) const {
  const auto found = documents_.find(service);
  return found == documents_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<const active_document>> document_cache::all() const {
  std::vector<std::shared_ptr<const active_document>> list;
  for (const auto& [service, document] : documents_)
    list.push_back(document);
  return list;
}

void document_cache::add_listener(std::function<void(const active_document&)> on_change) {
  listeners_.push_back(std::move(on_change));
}

static std::shared_ptr<const active_document> parse_row(const table::row& changed) {
  auto parsed = std::make_shared<active_document>();
  parsed->version = document_version::from_json(changed.value);
  support::config_errors errors;
  auto document = parse_document(parsed->version.text, errors);
  if (!document)
    throw std::runtime_error(errors.front().to_line());
  if (document_prefix + document->service != changed.key)
    throw std::runtime_error("row key does not match the document's service " + document->service);
  parsed->document = std::move(*document);
  return parsed;
}

void document_cache::apply_row(const table::row& changed) {
  if (!changed.key.starts_with(document_prefix))
    return;
  std::shared_ptr<const active_document> parsed;
  try {
    parsed = parse_row(changed);
  } catch (const std::exception& error) {
    support::log_event(support::log_level::error, "document_row_malformed",
                       {{"key", changed.key}, {"error", error.what()}});
    return;
  }
  auto& current = documents_[parsed->document.service];
  if (current && current->version.number >= parsed->version.number)
    return;
  current = parsed;
  support::log_event(support::log_level::info, "document_in_force",
                     {{"service", parsed->document.service},
                      {"version", std::to_string(parsed->version.number)},
                      {"author", parsed->version.author}});
  for (const auto& on_change : listeners_)
    on_change(*parsed);
}

} // namespace camphorlug::documents
