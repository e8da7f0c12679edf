#pragma once

#include <cstddef>
#include <initializer_list>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace camphorlug::support {

/// Fields of a message or row that a later build has added, by name, each as JSON text. A node that
/// passes the message on writes them again, so that nodes behind it get them.
using unknown_fields = std::map<std::string, std::string>;

/// Returns the members of `object` whose names are not in `known`.
unknown_fields read_unknown_fields(const nlohmann::json& object,
                                   std::initializer_list<std::string_view> known);
/// Adds the fields to `object`, except those that it has.
void write_unknown_fields(nlohmann::json& object, const unknown_fields& fields);

/// Adds the fields of `other` to `fields`. Those in both are merged: objects member by member, of
/// other values the greater one stays, so that the order of merges does not matter.
void merge_unknown_fields(unknown_fields& fields, const unknown_fields& other);

/// The same for records that are written as arrays, to whose end later builds add elements: returns
/// the elements from index `known` on as text, empty if there are none.
std::string read_unknown_elements(const nlohmann::json& array, std::size_t known);
void write_unknown_elements(nlohmann::json& array, const std::string& elements);

} // namespace camphorlug::support
