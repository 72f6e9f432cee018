// Collects findings and formats them in the style of compiler messages.

#include "core/findings.h"

#include <utility>

namespace quetzalspan::core
{

namespace
{

std::string format_finding(const finding& entry)
{
    std::string text = entry.where.source;
    if (entry.where.line > 0) {
        text += ":" + std::to_string(entry.where.line) + ":" + std::to_string(entry.where.column);
    }
    text += ": ";
    text += severity_names.name(entry.level);
    text += ": " + entry.message + "\n";
    return text;
}

} // namespace

void findings::add_error(input_position where, std::string message)
{
    m_entries.push_back({severity::error, std::move(where), std::move(message)});
}

void findings::add_warning(input_position where, std::string message)
{
    m_entries.push_back({severity::warning, std::move(where), std::move(message)});
}

void findings::append(const findings& other)
{
    m_entries.insert(m_entries.end(), other.m_entries.begin(), other.m_entries.end());
}

bool findings::has_errors() const
{
    for (const finding& entry : m_entries) {
        if (entry.level == severity::error) {
            return true;
        }
    }
    return false;
}

std::string findings::to_text() const
{
    std::string text;
    for (const finding& entry : m_entries) {
        text += format_finding(entry);
    }
    return text;
}

findings_error::findings_error(findings found)
    : std::runtime_error(found.to_text()), m_found(std::move(found))
{
}

} // namespace quetzalspan::core
