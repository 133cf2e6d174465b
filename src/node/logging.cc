#include "node/logging.h"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <sstream>

#include "node/log_output.h"

namespace larchlever::node {

namespace {

log4cplus::Logger logger() {
  static log4cplus::Initializer initializer;
  static log4cplus::Logger instance = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("larchlever"));
  return instance;
}

/// Buffer for lines that the reader of standard output has not taken: several seconds of a busy node's log, and small
/// compared to its memory.
constexpr size_t kMaxBufferedBytes = 256 * 1024;

/// Formats lines and writes them to standard output without blocking on its reader.
class StandardOutputAppender : public log4cplus::Appender {
 public:
  StandardOutputAppender() : output_(STDOUT_FILENO, kMaxBufferedBytes) {}
  ~StandardOutputAppender() override { destructorImpl(); }
  StandardOutputAppender(const StandardOutputAppender&) = delete;
  StandardOutputAppender& operator=(const StandardOutputAppender&) = delete;

  void close() override {
    output_.flush();
    closed = true;
  }
  void flush() {
    const log4cplus::thread::MutexGuard guard(access_mutex);
    output_.flush();
  }

 protected:
  /// Called with the appender's lock held.
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    output_.write(line.str());
  }

 private:
  LogOutput output_;
};

log4cplus::helpers::SharedObjectPtr<StandardOutputAppender>& standard_output() {
  static log4cplus::helpers::SharedObjectPtr<StandardOutputAppender> appender;
  return appender;
}

/// Node name used in lines that are logged without one.
std::string& default_node() {
  static std::string name;
  return name;
}

std::string format(std::string_view node, std::string_view event, LogFields fields) {
  std::string line = "event=" + std::string(event) + " node=" + std::string(node.empty() ? default_node() : node);
  for (const auto& [key, value] : fields) {
    const bool needs_quotes = value.empty() || value.find_first_of(" \"\n") != std::string::npos;
    line += " " + std::string(key) + "=";
    if (!needs_quotes) {
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
    standard_output() = new StandardOutputAppender();
    appender = standard_output().get();
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

void flush_log() {
  if (standard_output()) {
    standard_output()->flush();
  }
}

void open_standard_descriptors() {
  for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (::fcntl(descriptor, F_GETFD) < 0 && errno == EBADF) {
      // open() returns the lowest free descriptor, which is this one.
      static_cast<void>(::open("/dev/null", O_RDWR));
    }
  }
}

void set_default_node(const std::string& node) { default_node() = node; }

void log_event(std::string_view node, std::string_view event, LogFields fields) {
  LOG4CPLUS_INFO(logger(), format(node, event, fields));
}

void log_warning(std::string_view node, std::string_view event, LogFields fields) {
  LOG4CPLUS_WARN(logger(), format(node, event, fields));
}

std::string join_items(const std::vector<std::string>& items) {
  std::string result;
  for (const auto& item : items) {
    result += (result.empty() ? "" : ",") + item;
  }
  return result;
}

}  // namespace larchlever::node
