// Tables of the names that enumeration values have in files, messages and logs.

#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace quetzalspan::core
{

// An enumeration value with its name.
template <typename Enum>
struct named_value {
    Enum value;
    std::string_view name;
};

// A constant mapping between the values of an enumeration and their names. No value and no name may occur
// twice.
template <typename Enum, std::size_t Size>
class name_table
{
public:
    constexpr explicit name_table(std::array<named_value<Enum>, Size> entries) : m_entries(entries) {}

    // Returns the name of a value, or "unknown" if the value is not in the table.
    constexpr std::string_view name(Enum value) const
    {
        for (const named_value<Enum>& entry : m_entries) {
            if (entry.value == value) {
                return entry.name;
            }
        }
        return "unknown";
    }

    // Returns the value with exactly this name, or nullopt if there is none.
    constexpr std::optional<Enum> find_value(std::string_view name) const
    {
        for (const named_value<Enum>& entry : m_entries) {
            if (entry.name == name) {
                return entry.value;
            }
        }
        return std::nullopt;
    }

    constexpr const std::array<named_value<Enum>, Size>& entries() const { return m_entries; }

private:
    std::array<named_value<Enum>, Size> m_entries;
};

template <typename Enum, std::size_t Size>
name_table(std::array<named_value<Enum>, Size>) -> name_table<Enum, Size>;

} // namespace quetzalspan::core
