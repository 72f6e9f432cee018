// Errors and warnings about input files and messages, with their positions. A reader collects all findings
// and reports them together instead of stopping at the first.

#pragma once

#include "core/name_table.h"

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

namespace quetzalspan::core
{

enum class severity { warning, error };

inline constexpr name_table severity_names{std::array<named_value<severity>, 2>{{
    {severity::warning, "warning"},
    {severity::error, "error"},
}}};

// A position in an input. Lines and columns count from 1; line 0 stands for the input as a whole.
struct input_position {
    // Name of the file or message.
    std::string source;
    std::size_t line = 0;
    std::size_t column = 0;
};

struct finding {
    severity level = severity::error;
    input_position where;
    std::string message;
};

// A list of findings in the order of their addition.
class findings
{
public:
    void add_error(input_position where, std::string message);
    void add_warning(input_position where, std::string message);
    void append(const findings& other);

    bool has_errors() const;
    bool is_empty() const { return m_entries.empty(); }
    const std::vector<finding>& entries() const { return m_entries; }

    // Returns one line for each finding, such as "file:line:column: error: message"; line and column are
    // omitted if the line is 0.
    std::string to_text() const;

private:
    std::vector<finding> m_entries;
};

// Thrown by an operation that fails because of errors in its input. what() is the text of all findings.
class findings_error : public std::runtime_error
{
public:
    explicit findings_error(findings found);

    const findings& found() const { return m_found; }

private:
    findings m_found;
};

} // namespace quetzalspan::core
