#include "camphorlug/documents/service_document.h"

#include <algorithm>

namespace camphorlug::documents {

const request_class* service_document::find_class(const std::string& name) const {
  const auto found = std::find_if(classes.begin(), classes.end(),
                                  [&name](const request_class& each) { return each.name == name; });
  return found == classes.end() ? nullptr : &*found;
}

const organisation* service_document::find_by_key_hash(const std::string& hash) const {
  for (const organisation& each : organisations) {
    if (std::find(each.key_hashes.begin(), each.key_hashes.end(), hash) != each.key_hashes.end())
      return &each;
  }
  return nullptr;
}

bool service_document::is_non_idempotent(const std::string& path) const {
  return std::any_of(non_idempotent_paths.begin(), non_idempotent_paths.end(),
                     [&path](const std::string& prefix) { return path.starts_with(prefix); });
}

bool service_document::allows_data_centre(const std::string& data_centre) const {
  if (data_centres.empty())
    return true;
  return std::find(data_centres.begin(), data_centres.end(), data_centre) != data_centres.end();
}

} // namespace camphorlug::documents
