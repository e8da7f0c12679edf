#pragma once

#include "camphorlug/net/header_list.h"

namespace camphorlug::net {

/// Status and headers of a response.
struct response_head {
  int status = 0;
  header_list headers;
};

} // namespace camphorlug::net
