// Runs the cross-checks and sorts the findings by their positions.

#include "config/validate.h"

#include "config/check_context.h"
#include "config/registry_yaml.h"
#include "config/rules_yaml.h"

#include <algorithm>
#include <tuple>

namespace quetzalspan::config
{

namespace
{

// Returns the findings ordered by file, with first_source first, then by line and column.
core::findings in_file_order(const core::findings& found, const std::string& first_source)
{
    std::vector<core::finding> entries = found.entries();
    std::stable_sort(
        entries.begin(), entries.end(), [&](const core::finding& left, const core::finding& right) {
            return std::make_tuple(left.where.source != first_source, left.where.line, left.where.column) <
                   std::make_tuple(right.where.source != first_source, right.where.line, right.where.column);
        });
    core::findings sorted;
    for (core::finding& entry : entries) {
        if (entry.level == core::severity::error) {
            sorted.add_error(std::move(entry.where), std::move(entry.message));
        } else {
            sorted.add_warning(std::move(entry.where), std::move(entry.message));
        }
    }
    return sorted;
}

} // namespace

void validate(const configuration& value, const source_map& positions, const std::string& source,
              core::findings& found)
{
    check_context context(value, positions, source, found);
    check_registry(context);
    check_rules(context);
}

core::findings validate(const configuration& value, const std::string& source)
{
    core::findings found;
    validate(value, source_map(), source, found);
    return found;
}

configuration configuration_from_yaml(const source_file& registry_file, const source_file& rules_file,
                                      core::findings& found)
{
    configuration result;
    source_map positions;
    core::findings collected;
    result.inventory = registry_from_yaml(registry_file.text, registry_file.name, collected, positions);
    result.policy = rules_from_yaml(rules_file.text, rules_file.name, collected, positions);
    validate(result, positions, registry_file.name, collected);
    found.append(in_file_order(collected, registry_file.name));
    return result;
}

} // namespace quetzalspan::config
