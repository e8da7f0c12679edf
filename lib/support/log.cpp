#include "camphorlug/support/log.h"

#include "camphorlug/support/json_text.h"
#include "camphorlug/support/log_output.h"
#include "camphorlug/support/log_throttle.h"

#include <csignal>
#include <cstdio>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace camphorlug::support {

static std::string node_name;
static bool log_started = false;
static log_throttle& throttle() {
  static log_throttle instance{log_rate{}};
  return instance;
}

static log_output& output() {
  static log_output instance{STDOUT_FILENO};
  return instance;
}

namespace {

/// Writes each glog message, which is already a JSON object, as a line to standard output.
class json_sink final : public google::LogSink {
public:
  void send(google::LogSeverity, const char*, const char*, int, const google::LogMessageTime&,
            const char* message, size_t size) override {
    output().add({message, size});
  }
};

} // namespace

static int severity(log_level level) {
  switch (level) {
  case log_level::info:
    return google::GLOG_INFO;
  case log_level::warning:
    return google::GLOG_WARNING;
  case log_level::error:
    return google::GLOG_ERROR;
  }
  return google::GLOG_ERROR;
}

static const char* severity_name(log_level level) {
  switch (level) {
  case log_level::info:
    return "info";
  case log_level::warning:
    return "warning";
  case log_level::error:
    return "error";
  }
  return "error";
}

static void write_line(log_level level, std::string_view event, std::uint64_t omitted,
                       std::initializer_list<log_field> fields);

void flush_log(std::chrono::milliseconds patience) {
  for (const auto& [kind, count] :
       throttle().take_inactive_omitted_counts(std::chrono::steady_clock::now()))
    write_line(log_level::warning, "lines_omitted", count, {{"kind", kind}});
  if (const std::uint64_t dropped = output().take_dropped())
    write_line(log_level::warning, "lines_dropped", dropped, {{"reason", "nobody read the log"}});
  output().flush(patience);
}

void start_json_log(std::string_view node, log_level min_level) {
  // The end of the log's reader must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  static json_sink sink;
  node_name = node;
  log_started = true;
  google::InitGoogleLogging("camphorlug");
  for (int level = google::GLOG_INFO; level <= google::GLOG_FATAL; ++level)
    google::SetLogDestination(level, "");
  FLAGS_stderrthreshold = google::GLOG_FATAL + 1;
  FLAGS_minloglevel = severity(min_level);
  google::AddLogSink(&sink);
}

static std::string timestamp() {
  const auto now = std::chrono::system_clock::now();
  const auto seconds = std::chrono::system_clock::to_time_t(now);
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  std::tm utc_time{};
  gmtime_r(&seconds, &utc_time);
  char date_time[32];
  std::strftime(date_time, sizeof date_time, "%Y-%m-%dT%H:%M:%S", &utc_time);
  char text[48];
  std::snprintf(text, sizeof text, "%s.%03dZ", date_time, static_cast<int>(millis));
  return text;
}

static void write_line(log_level level, std::string_view event, std::uint64_t omitted,
                       std::initializer_list<log_field> fields) {
  nlohmann::ordered_json line;
  line["time"] = timestamp();
  line["severity"] = severity_name(level);
  line["node"] = node_name;
  line["event"] = event;
  for (const log_field& field : fields)
    line[std::string(field.name)] = field.value;
  if (omitted > 0)
    line["omitted"] = omitted;
  const std::string text = to_json_text(line);
  google::LogMessage("", 0, severity(level)).stream() << text;
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
  // Programs that embed the node without start_json_log get no log output.
  if (!log_started || severity(level) < FLAGS_minloglevel)
    return;
  // The severity is part of the kind, so that routine lines of an event do not use up the
  // rate limit of its warnings and errors, which report unusual decisions and failures.
  const std::string kind = std::string(event) + "/" + severity_name(level);
  if (const auto omitted = throttle().admit(kind, std::chrono::steady_clock::now()))
    write_line(level, event, *omitted, fields);
}

} // namespace camphorlug::support
