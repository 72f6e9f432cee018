// Cross-checks of the registry: names, references, addresses, ranges and duplicates.

#include "config/check_context.h"

#include "config/host_port.h"

#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace quetzalspan::config
{

namespace
{

// Tokens of a rate limit are counted in signed 64-bit millionths. These bounds of rate and burst keep the sum
// over a fleet far from overflow.
constexpr double max_rate_per_second = 1e9;
constexpr double max_burst = 1e9;
constexpr double max_slots = 10000;
constexpr double max_connections = 1e6;
constexpr double max_weight = 1000;
// Hexadecimal digits of a SHA-256 digest.
constexpr std::size_t digest_length = 64;

bool is_digest(std::string_view text)
{
    return text.size() == digest_length && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

void check_regions(check_context& context)
{
    const registry& inventory = context.value().inventory;
    if (inventory.regions.empty()) {
        context.add_error("registry.regions", "must name at least one region");
    }
    std::set<std::string> with_zone;
    for (const availability_zone& zone : inventory.availability_zones) {
        with_zone.insert(zone.region);
    }
    for (std::size_t index = 0; index < inventory.regions.size(); ++index) {
        const std::string path = item_path("registry.regions", index);
        const std::string& name = inventory.regions[index];
        context.check_name(path, name);
        context.expect_unique(path, "region", name, "region \"" + name + "\" is given twice");
        if (!with_zone.contains(name)) {
            context.add_warning(path, "region \"" + name + "\" has no availability zone");
        }
    }
    for (std::size_t index = 0; index < inventory.availability_zones.size(); ++index) {
        const availability_zone& zone = inventory.availability_zones[index];
        const std::string path = item_path("registry.availability_zones", index);
        context.check_name(path + ".name", zone.name);
        context.expect_unique(path + ".name", "availability zone", zone.name,
                              "availability zone \"" + zone.name + "\" is given twice");
        context.expect_region(path + ".region", zone.region);
    }
}

void check_endpoint(check_context& context, const std::string& path, const std::string& service_path,
                    const endpoint& item)
{
    context.check_name(path + ".id", item.id);
    context.expect_unique(path + ".id", service_path, item.id, "endpoint \"" + item.id + "\" is given twice");
    context.expect_availability_zone(path + ".availability_zone", item.availability_zone);
    if (!is_numeric_address(item.host)) {
        context.add_error(path + ".host", "must be a numeric address");
    }
    if (item.port == 0) {
        context.add_error(path + ".port", "must be from 1 to 65535");
    }
    // Two entries for one process would send it twice the concurrent requests that its slots allow.
    if (item.port != 0) {
        context.expect_unique(path + ".host", "address", to_text(host_port{item.host, item.port}),
                              "another endpoint has the same host and port");
    }
    context.expect_range(path + ".slots", item.slots, 1, max_slots);
    context.expect_range(path + ".connections", item.connections, 1, max_connections);
    if (item.connections < item.slots) {
        context.add_error(path + ".connections", "must not be less than slots");
    }
}

void check_services(check_context& context)
{
    const std::vector<service>& services = context.value().inventory.services;
    for (std::size_t index = 0; index < services.size(); ++index) {
        const service& item = services[index];
        const std::string path = item_path("registry.services", index);
        context.check_name(path + ".name", item.name);
        context.expect_unique(path + ".name", "service", item.name,
                              "service \"" + item.name + "\" is given twice");
        if (item.endpoints.empty()) {
            context.add_error(path + ".endpoints", "service \"" + item.name + "\" has no endpoint");
            continue;
        }
        for (std::size_t position = 0; position < item.endpoints.size(); ++position) {
            check_endpoint(context, item_path(path + ".endpoints", position), path, item.endpoints[position]);
        }
        if (std::all_of(item.endpoints.begin(), item.endpoints.end(),
                        [](const endpoint& one) { return one.is_draining; })) {
            context.add_warning(path + ".endpoints",
                                "every endpoint of service \"" + item.name + "\" is draining");
        }
    }
}

void check_workspaces(check_context& context)
{
    const registry& inventory = context.value().inventory;
    std::set<std::string> with_key;
    for (const key_entry& key : inventory.keys) {
        if (!key.is_revoked) {
            with_key.insert(key.workspace);
        }
    }
    for (std::size_t index = 0; index < inventory.workspaces.size(); ++index) {
        const workspace& item = inventory.workspaces[index];
        const std::string path = item_path("registry.workspaces", index);
        context.check_name(path + ".name", item.name);
        context.expect_unique(path + ".name", "workspace", item.name,
                              "workspace \"" + item.name + "\" is given twice");
        context.expect_range(path + ".rate_per_second", item.rate_per_second, 0.001, max_rate_per_second);
        context.expect_range(path + ".burst", item.burst, 1, max_burst);
        context.expect_range(path + ".weight", item.weight, 1, max_weight);
        if (!with_key.contains(item.name)) {
            context.add_warning(path + ".name", "workspace \"" + item.name + "\" has no key in force");
        }
    }
}

void check_keys(check_context& context)
{
    const std::vector<key_entry>& keys = context.value().inventory.keys;
    for (std::size_t index = 0; index < keys.size(); ++index) {
        const std::string path = item_path("registry.keys", index);
        // The finding leaves out the text, which may be a plaintext key written instead of a digest.
        if (!is_digest(keys[index].digest)) {
            context.add_error(path + ".digest",
                              "must be a SHA-256 digest of 64 lower-case hexadecimal digits, the "
                              "output of \"quetzalctl digest-key\"");
        } else {
            context.expect_unique(path + ".digest", "key", keys[index].digest, "this key is given twice");
        }
        context.expect_workspace(path + ".workspace", keys[index].workspace);
    }
}

void check_sites(check_context& context)
{
    const std::vector<site>& sites = context.value().inventory.sites;
    for (std::size_t index = 0; index < sites.size(); ++index) {
        const site& item = sites[index];
        const std::string path = item_path("registry.sites", index);
        context.check_name(path + ".name", item.name);
        context.expect_unique(path + ".name", "site", item.name, "site \"" + item.name + "\" is given twice");
        if (item.regions.empty()) {
            context.add_error(path + ".regions", "must name at least one region");
        }
        for (std::size_t position = 0; position < item.regions.size(); ++position) {
            const std::string region_path = item_path(path + ".regions", position);
            context.expect_region(region_path, item.regions[position]);
            context.expect_unique(region_path, path, item.regions[position],
                                  "region \"" + item.regions[position] + "\" is given twice");
        }
    }
}

// Returns the reason why the prefix is invalid, or an empty string. The error is that of parsing the network.
template <typename Network>
std::string prefix_fault(const Network& network, const boost::system::error_code& error)
{
    if (error) {
        return "must be an address prefix such as 10.1.0.0/16";
    }
    if (network.canonical() != network) {
        return "has bits set beyond its length; write " + network.canonical().to_string();
    }
    return {};
}

// Returns the reason why the text is not an address prefix, or an empty string.
std::string prefix_fault(const std::string& text)
{
    boost::system::error_code error;
    if (text.find(':') != std::string::npos) {
        const boost::asio::ip::network_v6 network = boost::asio::ip::make_network_v6(text, error);
        return prefix_fault(network, error);
    }
    const boost::asio::ip::network_v4 network = boost::asio::ip::make_network_v4(text, error);
    return prefix_fault(network, error);
}

// Returns the same text for all spellings of a valid prefix.
std::string normalized_prefix(const std::string& text)
{
    if (text.find(':') != std::string::npos) {
        return boost::asio::ip::make_network_v6(text).to_string();
    }
    return boost::asio::ip::make_network_v4(text).to_string();
}

void check_client_blocks(check_context& context)
{
    const registry& inventory = context.value().inventory;
    std::set<std::string> sites;
    for (const site& item : inventory.sites) {
        sites.insert(item.name);
    }
    for (std::size_t index = 0; index < inventory.client_blocks.size(); ++index) {
        const client_block& block = inventory.client_blocks[index];
        const std::string path = item_path("registry.client_blocks", index);
        const std::string fault = prefix_fault(block.prefix);
        if (!fault.empty()) {
            context.add_error(path + ".prefix", fault);
        } else {
            context.expect_unique(path + ".prefix", "client block", normalized_prefix(block.prefix),
                                  "prefix \"" + block.prefix + "\" is given twice");
        }
        if (!sites.contains(block.site)) {
            context.add_error(path + ".site", "there is no site \"" + block.site + "\"");
        }
    }
}

} // namespace

void check_registry(check_context& context)
{
    check_regions(context);
    check_services(context);
    check_workspaces(context);
    check_keys(context);
    check_sites(context);
    check_client_blocks(context);
}

} // namespace quetzalspan::config
