#include "fakes/fake_store.h"

#include "camphorlug/table/store_error.h"

namespace camphorlug::fakes {

support::task<> fake_store::simulate_transfer() {
  co_await time_.sleep_for(table_.delay);
  if (cut || table_.down)
    throw table::store_error("down", false);
}

support::task<std::vector<table::row>> fake_store::scan(std::string prefix) {
  co_await simulate_transfer();
  if (!table_.unreadable_prefix.empty() && prefix.starts_with(table_.unreadable_prefix))
    throw table::store_error("unreadable", false);
  ++table_.reads;
  co_return table_.rows.scan(prefix);
}

support::task<table::commit_result> fake_store::commit(table::transaction change) {
  co_await simulate_transfer();
  ++table_.commits;
  if (table_.before_commit)
    table_.before_commit(change);
  const table::commit_result result = table_.rows.commit(change);
  co_await time_.sleep_for(table_.delay);
  if (table_.commit_answers_to_drop > 0) {
    --table_.commit_answers_to_drop;
    throw table::store_error("answer lost", true);
  }
  co_return result;
}

} // namespace camphorlug::fakes
