#include "node/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace larchlever::node {

namespace {

log4cplus::Logger logger() {
  static log4cplus::Initializer initializer;
  static log4cplus::Logger instance = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("larchlever"));
  return instance;
}

/// Names the process in lines whose writer knows no node.
std::string& process_node() {
  static std::string name;
  return name;
}

std::string format(std::string_view node, std::string_view event, LogFields fields) {
  std::string line = "event=" + std::string(event) + " node=" + std::string(node.empty() ? process_node() : node);
  for (const auto& [key, value] : fields) {
    const bool quoted = value.empty() || value.find_first_of(" \"\n") != std::string::npos;
    line += " " + std::string(key) + "=";
    if (!quoted) {
      line += value;
      continue;
    }
    line += '"';
    for (const char character : value) {
      line += character == '"' ? '\'' : (character == '\n' ? ' ' : character);
    }
    line += '"';
  }
  return line;
}

}  // namespace

void configure_logging(const std::string& level, const std::string& file) {
  auto log = logger();
  log.removeAllAppenders();
  log4cplus::SharedAppenderPtr appender;
  if (file.empty()) {
    appender = new log4cplus::ConsoleAppender(/*logToStdErr=*/false, /*immediateFlush=*/true);
  } else {
    appender = new log4cplus::FileAppender(file, std::ios_base::app);
  }
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n")));
  log.addAppender(appender);
  log.setLogLevel(level == "debug"   ? log4cplus::DEBUG_LOG_LEVEL
                  : level == "warn"  ? log4cplus::WARN_LOG_LEVEL
                  : level == "error" ? log4cplus::ERROR_LOG_LEVEL
                  : level == "off"   ? log4cplus::OFF_LOG_LEVEL
                                     : log4cplus::INFO_LOG_LEVEL);
}

void name_process(const std::string& node) { process_node() = node; }

void log_event(std::string_view node, std::string_view event, LogFields fields) {
  LOG4CPLUS_INFO(logger(), format(node, event, fields));
}

void log_problem(std::string_view node, std::string_view event, LogFields fields) {
  LOG4CPLUS_WARN(logger(), format(node, event, fields));
}

}  // namespace larchlever::node
