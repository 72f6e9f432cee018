// Log lines of key=value pairs, one line for each event, written through log4cplus.

#pragma once

#include <log4cplus/loglevel.h>

#include <concepts>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace quetzalspan::core
{

// One event under construction; it is written when the object ends, unless its level is disabled. Values with
// spaces, quotes or control characters are quoted and escaped, so a value cannot forge another pair or
// another line.
class log_event
{
public:
    log_event(log4cplus::LogLevel level, std::string_view event);
    ~log_event();

    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

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

// Events that an operator must act on.
class error_event : public log_event
{
public:
    explicit error_event(std::string_view event) : log_event(log4cplus::ERROR_LOG_LEVEL, event) {}
};

// Events that show degraded service.
class warning_event : public log_event
{
public:
    explicit warning_event(std::string_view event) : log_event(log4cplus::WARN_LOG_LEVEL, event) {}
};

// Changes of state.
class info_event : public log_event
{
public:
    explicit info_event(std::string_view event) : log_event(log4cplus::INFO_LOG_LEVEL, event) {}
};

// One line for each request and message.
class debug_event : public log_event
{
public:
    explicit debug_event(std::string_view event) : log_event(log4cplus::DEBUG_LOG_LEVEL, event) {}
};

// Sends log lines of this level and above to standard output, without ever blocking the caller on its reader.
// Level names: "debug", "info", "warn", "error". Throws std::invalid_argument for another name. A
// log4cplus::Initializer must be alive.
void configure_logging(std::string_view level_name);

// Writes an error event if a task, such as a coroutine, ended by an exception.
void log_task_end(std::string_view task, const std::exception_ptr& thrown);

} // namespace quetzalspan::core
