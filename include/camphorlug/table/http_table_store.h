#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/table/table_store.h"

#include <string>

namespace camphorlug::table {

/// Accesses the table service through its HTTP API.
class http_table_store final : public table_store {
public:
  http_table_store(net::http_client& client, std::string address);

  support::task<std::vector<row>> scan(std::string prefix) override;
  support::task<commit_result> commit(transaction change) override;

private:
  net::http_client& client_;
  std::string address_;
};

} // namespace camphorlug::table
