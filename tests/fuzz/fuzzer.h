#pragma once

#include "input_reader.h"

namespace camphorlug::fuzz {

/// Passes an input to the parsers that the program fuzzes. Any exception that leaves it is a find.
void read_input(input_reader input);

} // namespace camphorlug::fuzz
