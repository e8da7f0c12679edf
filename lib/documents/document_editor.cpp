#include "camphorlug/documents/document_editor.h"

#include "camphorlug/documents/document_cache.h"
#include "camphorlug/documents/parse_document.h"
#include "camphorlug/table/change_index.h"
#include "camphorlug/table/store_error.h"

#include <ctime>

namespace camphorlug::documents {

static constexpr const char* history_prefix = "history/";

static std::string format_utc(std::chrono::system_clock::time_point moment) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(moment);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

/// Zero-pads the number so that rows sort by version.
static std::string history_key(const std::string& service, std::uint64_t number) {
  char digits[16];
  std::snprintf(digits, sizeof digits, "%010llu", static_cast<unsigned long long>(number));
  return history_prefix + service + "/" + digits;
}

document_editor::document_editor(table::table_store& store, table::row_cache& rows,
                                 support::clock& time)
    : store_(store), rows_(rows), time_(time) {}

static support::config_errors validate(const edit_request& request) {
  support::config_errors errors;
  const auto parsed = parse_document(request.text, errors);
  if (parsed && parsed->service != request.service)
    errors.push_back({"document", 1, "service", parsed->service, "\"" + request.service + "\""});
  return errors;
}

support::task<edit_result> document_editor::edit(edit_request request) {
  edit_result rejected{edit_outcome::invalid, {}, validate(request)};
  if (!rejected.errors.empty())
    co_return rejected;
  bool commit_uncertain = false;
  try {
    co_return co_await write(request);
  } catch (const table::store_error& error) {
    commit_uncertain = error.may_have_committed();
  }
  if (!commit_uncertain)
    co_return edit_result{edit_outcome::not_written, {}, {}};
  co_return co_await resolve_unknown_outcome(std::move(request));
}

support::task<edit_result> document_editor::write(edit_request request) {
  const std::string key = document_prefix + request.service;
  const std::optional<table::row> current_row = co_await store_.read(key);
  document_version current;
  if (current_row)
    current = document_version::from_json(current_row->value);
  if (current_row && current.edit_id == request.edit_id)
    co_return edit_result{edit_outcome::accepted, current, {}};
  if (current.number != request.expected_number)
    co_return co_await find_earlier_edit(std::move(request), std::move(current));
  document_version next{request.service, current.number + 1, request.text,
                        request.edit_id, request.author,     format_utc(time_.wall_time())};
  table::transaction change;
  change.checks.push_back({key, current_row ? current_row->version : 0});
  change.writes.push_back({key, next.to_json()});
  change.writes.push_back({history_key(request.service, next.number), next.to_json()});
  change.writes.push_back(table::make_index_write(document_prefix));
  const table::commit_result result = co_await store_.commit(std::move(change));
  if (!result.committed) {
    edit_result conflict_result{edit_outcome::conflict, current, {}};
    for (const table::row& row : result.current) {
      if (row.key == key)
        conflict_result.current = document_version::from_json(row.value);
    }
    co_return conflict_result;
  }
  rows_.update_if_newer({key, next.to_json(), result.version});
  co_return edit_result{edit_outcome::accepted, next, {}};
}

/// Answers an edit that is not based on the current version. It may be a retry of an edit that
/// was committed and has been superseded since.
support::task<edit_result> document_editor::find_earlier_edit(edit_request request,
                                                              document_version current) {
  std::vector<document_version> versions;
  bool was_read = true;
  try {
    versions = co_await history(request.service);
  } catch (const table::store_error&) {
    was_read = false;
  }
  for (const document_version& each : versions) {
    if (each.edit_id == request.edit_id)
      co_return edit_result{edit_outcome::accepted, each, {}};
  }
  if (!was_read)
    co_return edit_result{edit_outcome::unknown, {}, {}};
  co_return edit_result{edit_outcome::conflict, std::move(current), {}};
}

support::task<edit_result> document_editor::resolve_unknown_outcome(edit_request request) {
  try {
    const std::vector<document_version> versions = co_await history(request.service);
    for (const document_version& each : versions) {
      if (each.edit_id == request.edit_id)
        co_return edit_result{edit_outcome::accepted, each, {}};
    }
  } catch (const table::store_error&) {
    // The outcome is still unknown; the operator retries with the same edit id.
  }
  // The transaction may still be in flight, so its absence from the history does not
  // prove that it will not be committed later.
  co_return edit_result{edit_outcome::unknown, {}, {}};
}

support::task<std::vector<document_version>> document_editor::history(std::string service) {
  std::vector<document_version> versions;
  const auto rows = co_await store_.scan(history_prefix + service + "/");
  for (const table::row& row : rows)
    versions.push_back(document_version::from_json(row.value));
  co_return versions;
}

} // namespace camphorlug::documents
