#include "fuzzer.h"
#include "platform_row_decoder.h"
#include "platform_settings.h"

#include <stdexcept>

using namespace camphorlug;

/// The first byte selects the operators' configuration or the settings of a node.
void fuzz::read_input(input_reader input) {
  const auto kind = input.take_byte();
  const std::string text = input.take_rest();
  try {
    if (kind % 2 == 0)
      platform::platform_row_decoder::parse_config(text);
    else
      platform::read_settings(text);
  } catch (const std::invalid_argument&) {
    // The configuration is invalid.
  } catch (const platform::settings_error&) {
    // The settings are invalid.
  }
}
