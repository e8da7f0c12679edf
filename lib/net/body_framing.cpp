#include "camphorlug/net/body_framing.h"

#include <string>

namespace camphorlug::net {

static bool has_no_body(std::string_view method, int status) {
  return method == "HEAD" || status < 200 || status == 204 || status == 304;
}

body_framing framing_of(std::string_view method, const response_head& head) {
  if (has_no_body(method, head.status))
    return body_framing::length;
  if (const auto coding = head.headers.find("Transfer-Encoding")) {
    static constexpr std::string_view chunked = "chunked";
    const std::string_view value = *coding;
    const bool ends_in_chunked =
        value.size() >= chunked.size() &&
        same_header_name(value.substr(value.size() - chunked.size()), chunked);
    return ends_in_chunked ? body_framing::chunks : body_framing::connection_close;
  }
  return head.headers.find("Content-Length") ? body_framing::length
                                             : body_framing::connection_close;
}

const char* to_string(body_framing framing) {
  switch (framing) {
  case body_framing::length:
    return "length";
  case body_framing::chunks:
    return "chunks";
  case body_framing::connection_close:
    return "close";
  }
  return "";
}

} // namespace camphorlug::net
