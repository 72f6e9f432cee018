// Parses YAML with yaml-cpp and converts its scalars strictly.

#include "config/yaml_reader.h"

#include "config/numbers.h"

#include <absl/time/time.h>

#include <algorithm>
#include <limits>
#include <set>

namespace quetzalspan::config
{

namespace
{

core::input_position position_of_mark(const std::string& source, const YAML::Mark& mark)
{
    if (mark.is_null()) {
        return {source, 0, 0};
    }
    return {source, static_cast<std::size_t>(mark.line) + 1, static_cast<std::size_t>(mark.column) + 1};
}

// Returns whether the node is an unquoted scalar. A quoted one is text, never a number or a boolean.
bool is_plain_scalar(const YAML::Node& node)
{
    return node.IsScalar() && node.Tag() != "!";
}

// Returns the parser's message without the text that it quotes from the file, which may be a secret.
std::string without_quoted_text(const std::string& message)
{
    return message.substr(0, message.find(": "));
}

} // namespace

yaml_reader::yaml_reader(std::string source, core::findings& found, source_map& positions)
    : m_source(std::move(source)), m_found(found), m_positions(positions)
{
}

core::input_position yaml_reader::position_of(const YAML::Node& node) const
{
    return position_of_mark(m_source, node.Mark());
}

void yaml_reader::add_error(const YAML::Node& node, const std::string& path, const std::string& message)
{
    m_found.add_error(position_of(node), path + ": " + message);
    m_positions.mark_reported(path);
}

YAML::Node yaml_reader::parse(std::string_view text)
{
    const YAML::Node undefined(YAML::NodeType::Undefined);
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(text));
        if (documents.size() != 1) {
            m_found.add_error({m_source, 0, 0}, "must hold exactly one YAML document");
            return undefined;
        }
        return documents.front();
    } catch (const YAML::Exception& error) {
        m_found.add_error(position_of_mark(m_source, error.mark),
                          "not YAML: " + without_quoted_text(error.msg));
        return undefined;
    }
}

void yaml_reader::mapping(const YAML::Node& node, const std::string& path,
                          const std::vector<yaml_member>& members, bool shows_unknown_names)
{
    m_positions.add(path, position_of(node));
    if (!node.IsMap()) {
        add_error(node, path, "must be a mapping");
        return;
    }
    std::set<std::string_view> seen;
    for (const YAML::detail::iterator_value& pair : node) {
        const std::string name = pair.first.IsScalar() ? pair.first.Scalar() : std::string();
        const std::string member_path = path + "." + name;
        const auto member = std::find_if(members.begin(), members.end(), [&](const yaml_member& candidate) {
            return candidate.name == name;
        });
        if (member == members.end()) {
            const std::string shown = shows_unknown_names ? " \"" + name + "\"" : std::string();
            m_found.add_error(position_of(pair.first), path + ": unknown member" + shown);
            continue;
        }
        if (!seen.insert(member->name).second) {
            m_found.add_error(position_of(pair.first), member_path + ": is given more than once");
            continue;
        }
        m_positions.add(member_path, position_of(pair.second));
        member->read(pair.second, member_path);
    }
    for (const yaml_member& member : members) {
        if (member.is_required && !seen.contains(member.name)) {
            add_error(node, path + "." + std::string(member.name), "is missing");
        }
    }
}

void yaml_reader::sequence(const YAML::Node& node, const std::string& path,
                           const yaml_value_reader& read_item)
{
    if (!node.IsSequence()) {
        add_error(node, path, "must be a list");
        return;
    }
    std::size_t index = 0;
    for (const YAML::Node& item : node) {
        const std::string item_path = path + "[" + std::to_string(index) + "]";
        m_positions.add(item_path, position_of(item));
        read_item(item, item_path);
        ++index;
    }
}

yaml_value_reader yaml_reader::into(std::string& target)
{
    return [this, &target](const YAML::Node& node, const std::string& path) {
        if (!node.IsScalar()) {
            add_error(node, path, "must be text");
            return;
        }
        target = node.Scalar();
    };
}

yaml_value_reader yaml_reader::into(bool& target)
{
    return [this, &target](const YAML::Node& node, const std::string& path) {
        const bool is_true = is_plain_scalar(node) && node.Scalar() == "true";
        if (!is_true && !(is_plain_scalar(node) && node.Scalar() == "false")) {
            add_error(node, path, "must be true or false");
            return;
        }
        target = is_true;
    };
}

yaml_value_reader yaml_reader::into(double& target)
{
    return [this, &target](const YAML::Node& node, const std::string& path) {
        const std::optional<double> value =
            is_plain_scalar(node) ? parse_decimal(node.Scalar()) : std::nullopt;
        if (!value) {
            add_error(node, path, "must be a number");
            return;
        }
        target = *value;
    };
}

template <typename Integer>
yaml_value_reader yaml_reader::into_integer(Integer& target)
{
    return [this, &target](const YAML::Node& node, const std::string& path) {
        const std::optional<std::uint64_t> value =
            is_plain_scalar(node) ? parse_whole_number(node.Scalar()) : std::nullopt;
        if (!value || *value > std::numeric_limits<Integer>::max()) {
            add_error(node, path,
                      "must be a whole number from 0 to " +
                          std::to_string(std::numeric_limits<Integer>::max()));
            return;
        }
        target = static_cast<Integer>(*value);
    };
}

yaml_value_reader yaml_reader::into(std::uint16_t& target)
{
    return into_integer(target);
}

yaml_value_reader yaml_reader::into(std::uint32_t& target)
{
    return into_integer(target);
}

yaml_value_reader yaml_reader::into(std::uint64_t& target)
{
    return into_integer(target);
}

yaml_value_reader yaml_reader::into(core::wall_time& target)
{
    return [this, &target](const YAML::Node& node, const std::string& path) {
        absl::Time parsed;
        std::string error;
        if (!node.IsScalar() || !absl::ParseTime(absl::RFC3339_full, node.Scalar(), &parsed, &error) ||
            parsed == absl::InfiniteFuture() || parsed == absl::InfinitePast()) {
            add_error(node, path, "must be a time such as 2026-03-01T18:00:00Z");
            return;
        }
        target = core::wall_time(std::chrono::milliseconds(absl::ToUnixMillis(parsed)));
    };
}

yaml_value_reader yaml_reader::into(std::vector<std::string>& target)
{
    return into_list<std::string>(target, [this](const YAML::Node& node, const std::string& path,
                                                 std::string& item) { into(item)(node, path); });
}

} // namespace quetzalspan::config
