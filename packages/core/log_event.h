// Structured log events: one line of key=value pairs for each event, written by log4cplus.

#pragma once

#include <log4cplus/loglevel.h>

#include <concepts>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace quetzalspan::core
{

// A log event under construction. The destructor writes it, unless its level is disabled. An empty value and
// a value with a space, quote, equals sign, backslash, control or non-ASCII character is quoted, and its
// quotes, backslashes and control characters are escaped, so a value cannot forge another pair or another
// line.
class log_event
{
public:
    log_event(log4cplus::LogLevel level, std::string_view event);
    ~log_event();

    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    // Appends a key=value pair. The key is written as it is.
    log_event& with(std::string_view key, std::string_view value);
    log_event& with(std::string_view key, const char* value) { return with(key, std::string_view(value)); }
    log_event& with(std::string_view key, bool value) { return with(key, value ? "true" : "false"); }

    template <std::integral Integer>
    log_event& with(std::string_view key, Integer value)
    {
        return m_is_enabled ? with(key, std::string_view(std::to_string(value))) : *this;
    }

    // Returns the line so far; empty if the level is disabled.
    const std::string& line() const { return m_line; }

private:
    log4cplus::LogLevel m_level;
    bool m_is_enabled;
    std::string m_line;
};

// For failures that an operator must act on.
class error_event : public log_event
{
public:
    explicit error_event(std::string_view event) : log_event(log4cplus::ERROR_LOG_LEVEL, event) {}
};

// For degraded service.
class warning_event : public log_event
{
public:
    explicit warning_event(std::string_view event) : log_event(log4cplus::WARN_LOG_LEVEL, event) {}
};

// For changes of state.
class info_event : public log_event
{
public:
    explicit info_event(std::string_view event) : log_event(log4cplus::INFO_LOG_LEVEL, event) {}
};

// For single requests and messages.
class debug_event : public log_event
{
public:
    explicit debug_event(std::string_view event) : log_event(log4cplus::DEBUG_LOG_LEVEL, event) {}
};

// Writes log lines of this level and above to standard output. A slow reader of standard output never blocks
// the threads that log; lines are dropped instead. The levels are "debug", "info", "warn" and "error"; throws
// std::invalid_argument for any other name. log4cplus::initialize() must have been called, or a
// log4cplus::Initializer exist.
void configure_logging(std::string_view level_name);

// Writes the lines logged so far to standard output, as far as its reader takes them; see ~line_writer().
// Events that are logged afterwards are discarded.
void close_log();

// Writes the error event task_failed if a task, such as a coroutine, ended with an exception; does nothing if
// the pointer is null. An exception that is not a std::exception is rethrown.
void log_task_failure(std::string_view task, const std::exception_ptr& thrown);

} // namespace quetzalspan::core
