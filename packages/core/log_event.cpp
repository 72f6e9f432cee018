// Formats and escapes log events, and configures log4cplus to write them to standard output through a
// line_writer.

#include "core/log_event.h"

#include "core/line_writer.h"
#include "core/name_table.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <memory>
#include <sstream>
#include <stdexcept>

#include <unistd.h>

namespace quetzalspan::core
{

namespace
{

constexpr name_table level_names{std::array<named_value<log4cplus::LogLevel>, 4>{{
    {log4cplus::DEBUG_LOG_LEVEL, "debug"},
    {log4cplus::INFO_LOG_LEVEL, "info"},
    {log4cplus::WARN_LOG_LEVEL, "warn"},
    {log4cplus::ERROR_LOG_LEVEL, "error"},
}}};

bool needs_quotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char character : value) {
        const bool is_plain =
            character > ' ' && character < 0x7f && character != '"' && character != '=' && character != '\\';
        if (!is_plain) {
            return true;
        }
    }
    return false;
}

void append_quoted(std::string& line, std::string_view value)
{
    constexpr std::string_view hex_digits = "0123456789abcdef";
    line += '"';
    for (const char character : value) {
        const unsigned code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (code < 0x20 || code == 0x7f) {
            line += "\\x";
            line += hex_digits[code >> 4U];
            line += hex_digits[code & 0xfU];
        } else {
            line += character;
        }
    }
    line += '"';
}

// Passes formatted lines to a line_writer, which never blocks the thread that logs.
class line_appender : public log4cplus::Appender
{
public:
    explicit line_appender(int descriptor) : m_writer(descriptor) {}
    ~line_appender() override { destructorImpl(); }

    line_appender(const line_appender&) = delete;
    line_appender& operator=(const line_appender&) = delete;

    void close() override {}

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        std::ostringstream line;
        layout->formatAndAppend(line, event);
        m_writer.write(line.str());
    }

private:
    line_writer m_writer;
};

log4cplus::Logger& application_logger()
{
    static log4cplus::Logger logger = log4cplus::Logger::getInstance("quetzalspan");
    return logger;
}

} // namespace

log_event::log_event(log4cplus::LogLevel level, std::string_view event)
    : m_level(level), m_is_enabled(application_logger().isEnabledFor(level))
{
    with("event", event);
}

log_event::~log_event()
{
    if (m_is_enabled) {
        application_logger().log(m_level, m_line);
    }
}

log_event& log_event::with(std::string_view key, std::string_view value)
{
    if (!m_is_enabled) {
        return *this;
    }
    if (!m_line.empty()) {
        m_line += ' ';
    }
    m_line += key;
    m_line += '=';
    if (needs_quotes(value)) {
        append_quoted(m_line, value);
    } else {
        m_line += value;
    }
    return *this;
}

void configure_logging(std::string_view level_name)
{
    const std::optional<log4cplus::LogLevel> level = level_names.find_value(level_name);
    if (!level) {
        throw std::invalid_argument("unknown log level; use debug, info, warn or error");
    }
    log4cplus::SharedAppenderPtr appender(new line_appender(STDOUT_FILENO));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n")));
    log4cplus::Logger& logger = application_logger();
    logger.removeAllAppenders();
    logger.addAppender(appender);
    logger.setAdditivity(false);
    logger.setLogLevel(*level);
}

void close_log()
{
    log4cplus::Logger& logger = application_logger();
    // Events below this level are not passed to the missing appender.
    logger.setLogLevel(log4cplus::OFF_LOG_LEVEL);
    logger.removeAllAppenders();
}

void log_task_failure(std::string_view task, const std::exception_ptr& thrown)
{
    if (!thrown) {
        return;
    }
    try {
        std::rethrow_exception(thrown);
    } catch (const std::exception& error) {
        error_event("task_failed").with("task", task).with("error", error.what());
    }
}

} // namespace quetzalspan::core
