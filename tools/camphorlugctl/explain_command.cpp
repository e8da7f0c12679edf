#include "explain_command.h"

#include "camphorlug/diagnosis/request_timeline.h"

#include "exit_code.h"
#include "screen.h"

#include <iostream>

namespace camphorlug::ctl {

int explain_request(std::istream& logs, const std::string& request, output_options output) {
  diagnosis::request_timeline story(request);
  std::string line;
  while (std::getline(logs, line))
    story.add(line);
  if (output.json) {
    std::cout << story.lines().dump() << "\n";
  } else {
    for (const std::string& sentence : story.explanation())
      print_wrapped(sentence);
    if (story.unreadable() > 0)
      print_wrapped(std::to_string(story.unreadable()) + " lines were not valid log lines.");
  }
  return story.found() ? exit_ok : exit_refused;
}

} // namespace camphorlug::ctl
