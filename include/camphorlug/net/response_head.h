#pragma once

#include "camphorlug/net/header_list.h"

namespace camphorlug::net {

/// How the end of a body is marked.
enum class body_framing {
  /// Its length is known from the head, which includes responses that have no body.
  length,
  /// By a last chunk.
  chunks,
  /// By the end of the connection, which looks the same if the sender's process ends early.
  connection_close,
};

/// Status and headers of a response.
struct response_head {
  int status = 0;
  header_list headers;
  body_framing framing = body_framing::length;
};

} // namespace camphorlug::net
