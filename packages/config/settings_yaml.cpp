// Reads, overrides, checks and prints settings by iterating over the table of settings.

#include "config/settings_yaml.h"

#include "config/settings_table.h"
#include "config/source_map.h"
#include "config/yaml_reader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace quetzalspan::config
{

namespace
{

// Shorter secrets could be found from captured messages by trying all of them.
constexpr std::size_t min_secret_bytes = 16;

// Characters that the name of an HTTP header may have besides letters and digits.
constexpr std::string_view http_token_symbols = "!#$%&'*+-.^_`|~";

// Parses the node's value into the setting and adds a fault to the reader if the value is invalid.
void read_setting(yaml_reader& reader, const setting_entry& entry, settings& target, const YAML::Node& node,
                  const std::string& path)
{
    std::vector<std::string> texts;
    if (is_list(entry)) {
        reader.into(texts)(node, path);
    } else if (node.IsScalar()) {
        texts.push_back(node.Scalar());
    }
    const std::string reason = assign(target, entry, texts);
    if (!reason.empty()) {
        reader.add_error(node, path, reason);
    }
}

// Adds an error about a setting unless the reader of the file has already added one.
void add_setting_error(core::findings& found, const source_map& positions, const std::string& source,
                       std::string_view name, const std::string& message)
{
    const std::string path = "settings." + std::string(name);
    if (!positions.is_reported(path)) {
        found.add_error(positions.find_position(path).value_or(core::input_position{source, 0, 0}),
                        path + ": " + message);
    }
}

// Checks the settings together and adds a finding for each fault.
class settings_checker
{
public:
    settings_checker(const settings& value, const std::string& source, core::findings& found,
                     const source_map& positions)
        : m_value(value), m_source(source), m_found(found), m_positions(positions)
    {
    }

    void check_required()
    {
        for (const setting_entry& entry : setting_entries()) {
            if (entry.is_required && value_text(m_value, entry).empty()) {
                add_error(entry.name, "is missing");
            }
        }
    }

    void check_addresses()
    {
        if (!m_value.host.empty() && !is_numeric_address(m_value.host)) {
            add_error("host", "must be a numeric address");
        }
        const std::array<std::uint16_t, 3> ports{m_value.caller_port, m_value.peer_port, m_value.admin_port};
        for (std::size_t index = 0; index < ports.size(); ++index) {
            if (ports[index] != 0 && std::count(ports.begin(), ports.end(), ports[index]) > 1) {
                add_error("caller_port, fellow_port, admin_port", "must differ");
                break;
            }
        }
    }

    void check_secret()
    {
        if (!m_value.shared_secret.empty() && m_value.shared_secret.size() < min_secret_bytes) {
            add_error("shared_secret", "must have at least " + std::to_string(min_secret_bytes) + " bytes");
        }
        if (m_value.shared_secret.empty()) {
            add_error("shared_secret", "is missing; give it or shared_secret_file");
        }
    }

    void check_durations()
    {
        expect_less("heartbeat_interval_ms", m_value.heartbeat_interval, "authority_lifetime_ms",
                    m_value.authority_lifetime);
        expect_not_more("authority_lifetime_ms", m_value.authority_lifetime, "isolation_limit_ms",
                        m_value.isolation_limit);
        expect_less("isolation_limit_ms", m_value.isolation_limit, "autonomy_limit_ms",
                    m_value.autonomy_limit);
        expect_less("authority_lifetime_ms", m_value.authority_lifetime, "lease_time_ms", m_value.lease_time);
        expect_not_more("borrow_wait_ms", m_value.borrow_wait, "request_timeout_ms", m_value.request_timeout);
    }

    void check_names()
    {
        constexpr std::array<std::string_view, 4> levels{"debug", "info", "warn", "error"};
        if (std::find(levels.begin(), levels.end(), m_value.log_level) == levels.end()) {
            add_error("log_level", "must be debug, info, warn or error");
        }
        const bool is_token = !m_value.key_header.empty() &&
                              std::all_of(m_value.key_header.begin(), m_value.key_header.end(), [](char c) {
                                  return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
                                         http_token_symbols.find(c) != std::string_view::npos;
                              });
        if (!is_token) {
            add_error("key_header", "must be the name of an HTTP header");
        }
        // The instance name is part of member ids, which have the form "<instance>.<incarnation>", and of
        // store keys, so it may not contain their separators.
        const bool is_name = std::all_of(m_value.instance.begin(), m_value.instance.end(), [](char c) {
            return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_';
        });
        if (!is_name) {
            add_error("instance", "may have letters, digits, '-' and '_' only");
        }
    }

private:
    void add_error(std::string_view name, const std::string& message)
    {
        add_setting_error(m_found, m_positions, m_source, name, message);
    }

    void expect_less(std::string_view name, std::chrono::milliseconds value, std::string_view bound_name,
                     std::chrono::milliseconds bound)
    {
        if (value >= bound) {
            add_error(name, "must be less than " + std::string(bound_name));
        }
    }

    void expect_not_more(std::string_view name, std::chrono::milliseconds value, std::string_view bound_name,
                         std::chrono::milliseconds bound)
    {
        if (value > bound) {
            add_error(name, "must not be more than " + std::string(bound_name));
        }
    }

    const settings& m_value;
    const std::string& m_source;
    core::findings& m_found;
    const source_map& m_positions;
};

} // namespace

settings settings_from_yaml(std::string_view text, const std::string& source, core::findings& found,
                            source_map* positions)
{
    settings result;
    source_map own_positions;
    source_map& used_positions = positions == nullptr ? own_positions : *positions;
    yaml_reader reader(source, found, used_positions);
    const YAML::Node root = reader.parse(text);
    if (!root.IsDefined()) {
        used_positions.mark_reported("settings");
        return result;
    }
    std::vector<yaml_member> members;
    for (const setting_entry& entry : setting_entries()) {
        members.push_back(
            {entry.name, false, [&reader, &entry, &result](const YAML::Node& node, const std::string& path) {
                 read_setting(reader, entry, result, node, path);
             }});
    }
    reader.mapping(root, "settings", members);
    return result;
}

void apply_override(settings& target, std::string_view name, std::string_view value, core::findings& found,
                    source_map* positions)
{
    const core::input_position where{"command line", 0, 0};
    const setting_entry* entry = find_setting(name);
    if (entry == nullptr) {
        found.add_error(where, "unknown setting \"" + std::string(name) + "\"");
        return;
    }
    std::vector<std::string> texts;
    if (is_list(*entry)) {
        for (const absl::string_view part :
             absl::StrSplit(absl::string_view(value.data(), value.size()), ',', absl::SkipEmpty())) {
            texts.emplace_back(part.data(), part.size());
        }
    } else {
        texts.emplace_back(value);
    }
    const std::string reason = assign(target, *entry, texts);
    if (!reason.empty()) {
        found.add_error(where, "settings." + std::string(name) + ": " + reason);
        return;
    }
    if (positions != nullptr) {
        positions->add("settings." + std::string(name), where);
    }
}

void resolve_shared_secret(settings& target, const std::function<std::string(const std::string&)>& read_file,
                           core::findings& found)
{
    if (target.shared_secret_file.empty()) {
        return;
    }
    const core::input_position where{target.shared_secret_file, 0, 0};
    if (!target.shared_secret.empty()) {
        found.add_error(where, "shared_secret and shared_secret_file are both given; keep one");
        return;
    }
    try {
        std::string secret = read_file(target.shared_secret_file);
        while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
            secret.pop_back();
        }
        target.shared_secret = std::move(secret);
    } catch (const std::exception& error) {
        found.add_error(where, std::string("cannot read the shared secret: ") + error.what());
    }
}

void check_settings(const settings& value, const std::string& source, core::findings& found,
                    const source_map& positions)
{
    settings_checker check(value, source, found, positions);
    check.check_required();
    check.check_addresses();
    check.check_secret();
    check.check_durations();
    check.check_names();
}

void check_settings_against(const settings& value, const registry& inventory, const std::string& source,
                            core::findings& found, const source_map& positions)
{
    for (const availability_zone& zone : inventory.availability_zones) {
        if (zone.name != value.availability_zone) {
            continue;
        }
        if (zone.region != value.region) {
            add_setting_error(found, positions, source, "region",
                              "the registry puts availability zone \"" + zone.name + "\" in region \"" +
                                  zone.region + "\"");
        }
        return;
    }
    add_setting_error(found, positions, source, "availability_zone",
                      "the registry has no availability zone \"" + value.availability_zone + "\"");
}

std::string to_text(const settings& value)
{
    std::string text;
    for (const setting_entry& entry : setting_entries()) {
        std::string shown = value_text(value, entry);
        if (entry.is_secret) {
            shown = shown.empty() ? "(not set)" : "(hidden)";
        }
        text += std::string(entry.name) + ": " + shown + "\n";
    }
    return text;
}

} // namespace quetzalspan::config
