#include "camphorlug/diagnosis/log_time.h"

#include <cstdio>

namespace camphorlug::diagnosis {

std::optional<wall_time> parse_log_time(const std::string& text) {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hours = 0;
  int minutes = 0;
  int seconds = 0;
  int millis = 0;
  const int fields = std::sscanf(text.c_str(), "%d-%u-%uT%d:%d:%d.%dZ", &year, &month, &day, &hours,
                                 &minutes, &seconds, &millis);
  const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                         std::chrono::day(day)};
  if (fields != 7 || !date.ok())
    return std::nullopt;
  return std::chrono::sys_days(date) + std::chrono::hours(hours) + std::chrono::minutes(minutes) +
         std::chrono::seconds(seconds) + std::chrono::milliseconds(millis);
}

} // namespace camphorlug::diagnosis
