// The table of settings, and the parsing and printing of the type of each.

#include "config/settings_table.h"

#include "config/numbers.h"

#include <algorithm>
#include <array>
#include <limits>

namespace quetzalspan::config
{

namespace
{

constexpr double max_port = 65535;
constexpr double milliseconds_per_day = 24.0 * 60 * 60 * 1000;

const std::array table{
    setting_entry{"instance", &settings::instance, "name of this instance, unique in the fleet", 0, 0, true},
    setting_entry{"availability_zone", &settings::availability_zone, "availability zone of this instance", 0,
                  0, true},
    setting_entry{"region", &settings::region, "region of the availability zone", 0, 0, true},
    setting_entry{"host", &settings::host, "numeric address that all ports are bound to", 0, 0, true},
    setting_entry{"caller_port", &settings::caller_port, "port for lookups and requests", 0, max_port},
    setting_entry{"fellow_port", &settings::peer_port, "port for messages between instances", 0, max_port},
    setting_entry{"admin_port", &settings::admin_port, "port for metrics, health and status", 0, max_port},
    setting_entry{"platform", &settings::store_addresses, "addresses of the store, tried in order", 0, 0,
                  true},
    setting_entry{"fellows", &settings::seed_peers,
                  "instances that provide the configuration at start while the store cannot be reached"},
    setting_entry{"shared_secret", &settings::shared_secret,
                  "secret that authenticates messages between instances", 0, 0, false, true},
    setting_entry{"shared_secret_file", &settings::shared_secret_file, "file that holds the shared secret"},
    setting_entry{"threads", &settings::threads, "threads that serve requests", 1, 256},
    setting_entry{"header_limit_bytes", &settings::header_limit_bytes, "maximum size of a request header",
                  1024, 1024.0 * 1024},
    setting_entry{"body_limit_bytes", &settings::body_limit_bytes, "maximum size of a request body", 0,
                  1024.0 * 1024 * 1024 * 1024},
    setting_entry{"connection_limit", &settings::connection_limit, "maximum number of client connections", 1,
                  1e6},
    setting_entry{"header_timeout_ms", &settings::header_timeout, "time to receive a request header", 10,
                  600000},
    setting_entry{"idle_timeout_ms", &settings::idle_timeout, "time a kept-alive connection may stay idle",
                  100, 3600000},
    setting_entry{"request_timeout_ms", &settings::request_timeout, "upper bound of a request's deadline", 10,
                  3600000},
    setting_entry{"authority_lifetime_ms", &settings::authority_lifetime,
                  "how long a confirmation of the instance's membership counts as fresh", 100, 60000},
    setting_entry{"isolation_limit_ms", &settings::isolation_limit,
                  "how long an instance without a fresh confirmation serves routes that need a key", 100,
                  3600000},
    setting_entry{"autonomy_limit_ms", &settings::autonomy_limit,
                  "how long instances that vouch for each other serve while the store cannot be reached",
                  1000, 7 * milliseconds_per_day},
    setting_entry{"heartbeat_interval_ms", &settings::heartbeat_interval, "time between heartbeats", 10,
                  10000},
    setting_entry{"lease_time_ms", &settings::lease_time,
                  "time until the store lease of the member record expires without renewal", 500, 600000},
    setting_entry{"configuration_poll_interval_ms", &settings::configuration_poll_interval,
                  "time between reads of the configuration in addition to the watch", 50, 10000},
    setting_entry{"lookup_ttl_ms", &settings::lookup_ttl, "how long clients may cache a lookup", 100, 60000},
    setting_entry{"borrow_wait_ms", &settings::borrow_wait,
                  "how long a request may wait for tokens borrowed from a peer", 0, 5000},
    setting_entry{"retry_limit", &settings::retry_limit, "maximum number of retries of one request", 0, 10},
    setting_entry{"retry_budget_fraction", &settings::retry_budget_fraction,
                  "maximum number of retries as a fraction of all requests", 0, 1},
    setting_entry{"log_level", &settings::log_level, "debug, info, warn or error"},
    setting_entry{"key_header", &settings::key_header, "header that carries the workspace key"},
    setting_entry{"idempotency", &settings::idempotency, "claim, require or pass"},
};

std::string range_message(const setting_entry& entry)
{
    return "must be from " + number_text(entry.minimum) + " to " + number_text(entry.maximum);
}

// Parses the texts and sets a member of each type. Returns the reason if a text is invalid, or an empty
// string.
struct value_assigner {
    settings& target;
    const setting_entry& entry;
    const std::vector<std::string>& texts;

    std::string operator()(std::string settings::*member) const
    {
        target.*member = texts.front();
        return {};
    }

    template <typename Integer>
    std::string operator()(Integer settings::*member) const requires std::is_unsigned_v<Integer>
    {
        const std::optional<std::uint64_t> value = parse_whole_number(texts.front());
        if (!value) {
            return "must be a whole number";
        }
        if (static_cast<double>(*value) < entry.minimum || static_cast<double>(*value) > entry.maximum) {
            return range_message(entry);
        }
        target.*member = static_cast<Integer>(*value);
        return {};
    }

    std::string operator()(double settings::*member) const
    {
        const std::optional<double> value = parse_decimal(texts.front());
        if (!value) {
            return "must be a number";
        }
        if (*value < entry.minimum || *value > entry.maximum) {
            return range_message(entry);
        }
        target.*member = *value;
        return {};
    }

    std::string operator()(std::chrono::milliseconds settings::*member) const
    {
        const std::optional<std::uint64_t> value = parse_whole_number(texts.front());
        if (!value) {
            return "must be a whole number of milliseconds";
        }
        if (static_cast<double>(*value) < entry.minimum || static_cast<double>(*value) > entry.maximum) {
            return range_message(entry) + " ms";
        }
        target.*member = std::chrono::milliseconds(*value);
        return {};
    }

    std::string operator()(std::vector<host_port> settings::*member) const
    {
        std::vector<host_port> addresses;
        for (const std::string& text : texts) {
            const std::optional<host_port> address = parse_host_port(text);
            if (!address) {
                return "must be a list of numeric addresses with ports, such as 10.0.0.1:8081";
            }
            addresses.push_back(*address);
        }
        target.*member = addresses;
        return {};
    }

    std::string operator()(idempotency_policy settings::*member) const
    {
        const std::optional<idempotency_policy> value = idempotency_policy_names.find_value(texts.front());
        if (!value) {
            return "must be claim, require or pass";
        }
        target.*member = *value;
        return {};
    }
};

// Returns the text of a member of each type.
struct value_printer {
    const settings& source;

    std::string operator()(std::string settings::*member) const { return source.*member; }

    template <typename Number>
    std::string operator()(Number settings::*member) const requires std::is_arithmetic_v<Number>
    {
        return number_text(static_cast<double>(source.*member));
    }

    std::string operator()(std::chrono::milliseconds settings::*member) const
    {
        return std::to_string((source.*member).count());
    }

    std::string operator()(std::vector<host_port> settings::*member) const
    {
        std::string text;
        for (const host_port& address : source.*member) {
            text += (text.empty() ? "" : ",") + to_text(address);
        }
        return text;
    }

    std::string operator()(idempotency_policy settings::*member) const
    {
        return std::string(idempotency_policy_names.name(source.*member));
    }
};

} // namespace

std::span<const setting_entry> setting_entries()
{
    return table;
}

const setting_entry* find_setting(std::string_view name)
{
    const auto entry = std::find_if(table.begin(), table.end(),
                                    [&](const setting_entry& candidate) { return candidate.name == name; });
    return entry == table.end() ? nullptr : &*entry;
}

bool is_list(const setting_entry& entry)
{
    return std::holds_alternative<std::vector<host_port> settings::*>(entry.member);
}

std::string assign(settings& target, const setting_entry& entry, const std::vector<std::string>& texts)
{
    if (!is_list(entry) && texts.size() != 1) {
        return "must be a single value";
    }
    return std::visit(value_assigner{target, entry, texts}, entry.member);
}

std::string value_text(const settings& source, const setting_entry& entry)
{
    return std::visit(value_printer{source}, entry.member);
}

} // namespace quetzalspan::config
