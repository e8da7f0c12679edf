#include "camphorlug/table/row_mirror.h"

#include "check.h"
#include "fuzzer.h"
#include "platform_row_decoder.h"

#include <nlohmann/json.hpp>

using namespace camphorlug;

/// The first byte selects the parser, the rest is the text. An entry that can't be read is none;
/// the others throw what their declarations name.
void fuzz::read_input(input_reader input) {
  const auto kind = input.take_byte();
  const std::string text = input.take_rest();
  try {
    switch (kind % 3) {
    case 0:
      platform::platform_row_decoder().read_target("t1", text);
      break;
    case 1:
      platform::read_instance_report(text);
      break;
    default:
      table::batch_from_json(table::to_json(table::batch_from_json(text)));
    }
  } catch (const nlohmann::json::exception&) {
    // The text is no report or batch.
  }
}
