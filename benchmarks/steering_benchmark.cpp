// Measures the client-block table, lookups and region selection. Prints one line for each figure; the line of
// a figure with an upper bound ends in "max=<bound>". The bounds follow from the target scale: 1 million
// client blocks, 650 sites, 3.2 million lookups/s on 3,200 instances, and 3,900 block changes a day,
// with 1.5% of a core, 64 MB and 4 KB/s of network traffic for each instance.

#include "config/configuration_json.h"
#include "steering/client_block_table.h"
#include "steering/lookup.h"
#include "steering/region_selector.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace
{

std::size_t allocation_count = 0;
std::size_t heap_bytes = 0;
std::size_t peak_heap_bytes = 0;

} // namespace

// The counters are not atomic, because the program has one thread. Sizes are the usable sizes of the blocks
// that malloc() returned, not the requested sizes.
void* operator new(std::size_t size)
{
    void* memory = std::malloc(size == 0 ? 1 : size); // NOLINT(cppcoreguidelines-no-malloc)
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    ++allocation_count;
    heap_bytes += malloc_usable_size(memory);
    peak_heap_bytes = std::max(peak_heap_bytes, heap_bytes);
    return memory;
}

void operator delete(void* memory) noexcept
{
    heap_bytes -= memory == nullptr ? 0 : malloc_usable_size(memory);
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete(void* memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace
{

using namespace quetzalspan;
using namespace quetzalspan::steering;
namespace ip = boost::asio::ip;

constexpr std::size_t target_blocks = 1'000'000;
constexpr std::uint64_t site_count = 650;
constexpr double changes_per_day = 3'900;
constexpr double lookups_per_instance_per_second = 1'000;
constexpr double target_core_fraction = 0.015;
constexpr double max_memory_bytes = 64e6;
constexpr double max_wire_bytes_per_second = 4'096;
constexpr double seconds_per_day = 86'400;

void print_metric(const std::string& name, double value, std::optional<double> max = std::nullopt)
{
    std::printf("benchmark=steering metric=%s value=%.6g", name.c_str(), value);
    if (max) {
        std::printf(" max=%.6g", *max);
    }
    std::printf("\n");
}

// Prints the fraction of a core that an instance needs at the target rate of lookups, with the target value.
// This is not a bound, since times depend on the machine.
void print_core_fraction(const std::string& name, double ns)
{
    std::printf("benchmark=steering metric=%s value=%.6g target=%.6g\n", name.c_str(),
                ns * 1e-9 * lookups_per_instance_per_second, target_core_fraction);
}

// Returns a random IPv4 block of /18 to /24, anywhere in the address space, or IPv6 block of /36 to /48 in
// 2000::/8, which is part of the space that the registries assign. Most blocks have the longest of these
// lengths.
client_block_entry random_entry(std::mt19937_64& random, bool is_v6)
{
    const std::uint64_t bits = random();
    const site_index site = static_cast<site_index>(random() % site_count);
    if (!is_v6) {
        const std::uint8_t length = static_cast<std::uint8_t>(24 - (random() % 8 == 0 ? random() % 7 : 0));
        return {address_prefix::containing(ip::address_v4(static_cast<std::uint32_t>(bits)), length), site};
    }
    ip::address_v6::bytes_type bytes{0x20};
    for (std::size_t index = 1; index < 7; ++index) {
        bytes[index] = static_cast<std::uint8_t>(bits >> (8 * index));
    }
    const std::uint8_t length = static_cast<std::uint8_t>(48 - (random() % 8 == 0 ? random() % 13 : 0));
    return {address_prefix::containing(ip::address_v6(bytes), length), site};
}

enum class family_mix { ipv4_and_ipv6, ipv6_only };

std::vector<client_block_entry> make_entries(std::size_t count, family_mix families, std::mt19937_64& random)
{
    std::vector<client_block_entry> entries;
    entries.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        entries.push_back(random_entry(random, families == family_mix::ipv6_only || index % 10 < 3));
    }
    return entries;
}

// The baseline: the same longest-prefix search by address in one sorted vector.
class sorted_vector
{
public:
    explicit sorted_vector(std::vector<client_block_entry> entries) : m_entries(std::move(entries))
    {
        std::sort(m_entries.begin(), m_entries.end(),
                  [](const client_block_entry& left, const client_block_entry& right) {
                      return left.prefix == right.prefix ? left.site < right.site : is_before(left, right);
                  });
        std::uint8_t longest = no_length;
        std::array<bool, 129> used{};
        for (const client_block_entry& entry : m_entries) {
            used[entry.prefix.length] = true;
        }
        for (std::size_t length = 0; length < used.size(); ++length) {
            longest = used[length] ? static_cast<std::uint8_t>(length) : longest;
            m_longest_up_to[length] = longest;
        }
    }

    std::optional<client_block_entry> find(const ip::address& address) const
    {
        constexpr std::uint8_t full_length = 128;
        const address_prefix wanted = address_prefix::containing(address, full_length);
        std::uint8_t length = m_longest_up_to[wanted.length];
        while (length != no_length) {
            const client_block_entry probe{address_prefix::containing(address, length), 0};
            const auto after = std::upper_bound(m_entries.begin(), m_entries.end(), probe, is_before);
            if (after == m_entries.begin()) {
                return std::nullopt;
            }
            const client_block_entry& nearest = *(after - 1);
            const unsigned common = common_prefix_length(nearest.prefix, wanted);
            if (common >= nearest.prefix.length) {
                return nearest;
            }
            length = m_longest_up_to[common];
        }
        return std::nullopt;
    }

    std::size_t bytes() const { return m_entries.capacity() * sizeof(client_block_entry); }

private:
    static constexpr std::uint8_t no_length = 0xff;

    static bool is_before(const client_block_entry& left, const client_block_entry& right)
    {
        return std::tie(left.prefix.is_v6, left.prefix.bytes, left.prefix.length) <
               std::tie(right.prefix.is_v6, right.prefix.bytes, right.prefix.length);
    }

    static unsigned common_prefix_length(const address_prefix& left, const address_prefix& right)
    {
        if (left.is_v6 != right.is_v6) {
            return 0;
        }
        return left.is_v6 ? ipv6_key::from_prefix(left).common_prefix_length(ipv6_key::from_prefix(right))
                          : ipv4_key::from_prefix(left).common_prefix_length(ipv4_key::from_prefix(right));
    }

    std::vector<client_block_entry> m_entries;
    std::array<std::uint8_t, 129> m_longest_up_to{};
};

// Returns client addresses, of which nine in ten lie in one of the blocks.
std::vector<ip::address> make_clients(const std::vector<client_block_entry>& entries, std::mt19937_64& random)
{
    std::vector<ip::address> clients;
    constexpr std::size_t count = 200'000;
    for (std::size_t index = 0; index < count; ++index) {
        address_prefix prefix = entries[random() % entries.size()].prefix;
        if (random() % 10 == 0) {
            prefix = random_entry(random, prefix.is_v6).prefix;
        }
        if (prefix.is_v6) {
            prefix.bytes[15] = 1;
            clients.push_back(ip::address_v6(prefix.bytes));
        } else {
            clients.push_back(ip::address_v4(ipv4_key::from_prefix(prefix).value | 1U));
        }
    }
    return clients;
}

// Runs work(), which performs `count` operations, and returns the mean time of one.
template <typename Work>
double nanoseconds_per_operation(std::size_t count, Work work)
{
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::nano> passed = std::chrono::steady_clock::now() - begin;
    return passed.count() / static_cast<double>(count);
}

// Finds the block of every client and returns the mean time of a find in nanoseconds. Adds the sites found to
// the checksum, by which two tables are compared.
template <typename Table>
double measure_finds(const Table& table, const std::vector<ip::address>& clients, std::uint64_t& checksum)
{
    return nanoseconds_per_operation(clients.size(), [&] {
        for (const ip::address& client : clients) {
            const std::optional<client_block_entry> found = table.find(client);
            checksum += found ? found->site + 1U : 0;
        }
    });
}

// Measures find() against the baseline in alternating rounds. The fastest round of each is compared.
void measure_find_against_baseline(const client_block_table& table, std::vector<client_block_entry> entries)
{
    std::mt19937_64 random(3);
    const std::vector<ip::address> clients = make_clients(entries, random);
    const sorted_vector baseline(std::move(entries));
    double table_ns = 1e12;
    double baseline_ns = 1e12;
    constexpr int rounds = 7;
    std::array<std::uint64_t, 2> checksums{};
    const std::size_t allocations_before = allocation_count;
    for (int round = 0; round < rounds; ++round) {
        table_ns = std::min(table_ns, measure_finds(table, clients, checksums[0]));
        baseline_ns = std::min(baseline_ns, measure_finds(baseline, clients, checksums[1]));
    }
    const std::size_t allocated = allocation_count - allocations_before;
    print_metric("find_allocations", static_cast<double>(allocated), 0);
    print_metric("find_answers_unlike_baseline", checksums[0] == checksums[1] ? 0 : 1, 0);
    print_metric("find_ns", table_ns);
    print_metric("find_baseline_ns", baseline_ns);
    // The tree, whose versions share nodes, must not take more than twice the time of one flat array.
    print_metric("find_ratio_to_baseline", table_ns / baseline_ns, 2);
}

// Measures the heap that a table of `count` blocks uses, and the nodes and bytes that changed versions copy.
void measure_memory(const char* name, std::size_t count, family_mix families)
{
    std::mt19937_64 random(5);
    const std::string label = std::string(name) + "_" + std::to_string(count / 1'000) + "k";
    const std::size_t heap_before = heap_bytes;
    const client_block_table table = client_block_table::create(make_entries(count, families, random));
    const double table_bytes = static_cast<double>(heap_bytes - heap_before);
    const double block_count = static_cast<double>(table.size());
    print_metric(label + "_bytes_per_block", table_bytes / block_count,
                 max_memory_bytes / static_cast<double>(target_blocks));

    std::vector<client_block_change> changes;
    for (int index = 0; index < static_cast<int>(changes_per_day); ++index) {
        changes.push_back(random_entry(random, families == family_mix::ipv6_only || index % 10 < 3));
    }
    copied_nodes one_change_cost;
    const std::size_t heap_before_one_change = heap_bytes;
    const client_block_table changed = table.with_changes({changes.data(), 1}, &one_change_cost);
    // A change copies the root, a branch and a leaf, and a split can add one branch and one leaf.
    print_metric(label + "_nodes_copied_by_one_change", static_cast<double>(one_change_cost.nodes), 5);
    print_metric(label + "_bytes_copied_by_one_change", static_cast<double>(one_change_cost.bytes));
    print_metric(label + "_bytes_per_block_both_versions",
                 (table_bytes + static_cast<double>(heap_bytes - heap_before_one_change)) / block_count,
                 max_memory_bytes / static_cast<double>(target_blocks));
    copied_nodes day_cost;
    const client_block_table next_day = table.with_changes(changes, &day_cost);
    print_metric(label + "_bytes_copied_by_a_day_at_once", static_cast<double>(day_cost.bytes));

    // The worst case for memory: every block is replaced, so that the two versions share no nodes.
    peak_heap_bytes = heap_bytes;
    const std::size_t before_replacement = heap_bytes;
    const client_block_table replaced = table.with_entries(make_entries(count, families, random));
    const double peak = table_bytes + static_cast<double>(peak_heap_bytes - before_replacement);
    print_metric(label + "_peak_bytes_replacing_all", peak, max_memory_bytes);
}

// Computes the size of the messages that distribute a day of client-block changes.
void measure_change_messages()
{
    std::mt19937_64 random(7);
    config::configuration changes;
    const std::size_t envelope_bytes = config::to_json(changes).size();
    for (int index = 0; index < static_cast<int>(changes_per_day); ++index) {
        const client_block_entry entry = random_entry(random, index % 10 < 3);
        changes.inventory.client_blocks.push_back(
            {entry.prefix.to_text(), "site-" + std::to_string(entry.site)});
    }
    const double entry_bytes = static_cast<double>(config::to_json(changes).size() - envelope_bytes);
    // Each change is sent in a message of its own, which contains the envelope of a configuration.
    const double day_bytes = entry_bytes + changes_per_day * static_cast<double>(envelope_bytes);
    print_metric("wire_bytes_per_change", day_bytes / changes_per_day);
    print_metric("wire_bytes_per_day", day_bytes);
    print_metric("wire_bytes_per_second", day_bytes / seconds_per_day, max_wire_bytes_per_second);
}

// Returns a configuration of 14 regions with endpoints of one service, and of 650 sites that are served by
// one region each.
config::configuration make_configuration(int endpoints_per_region)
{
    config::configuration result;
    config::service service{"tilauspalvelu", {}};
    std::uint16_t port = 1;
    for (int region = 0; region < 14; ++region) {
        const std::string name = "region-" + std::to_string(10 + region);
        result.inventory.regions.push_back(name);
        result.inventory.availability_zones.push_back({name + "-a", name});
        for (int index = 0; index < endpoints_per_region; ++index) {
            config::endpoint endpoint;
            endpoint.id = name + "-" + std::to_string(100 + index);
            endpoint.availability_zone = name + "-a";
            endpoint.host = "127.0.0.1";
            endpoint.port = port++;
            service.endpoints.push_back(endpoint);
        }
    }
    result.inventory.services.push_back(service);
    for (std::uint64_t index = 0; index < site_count; ++index) {
        const std::string region = "region-" + std::to_string(10 + index % 14);
        result.inventory.sites.push_back({"site-" + std::to_string(index), {region}});
    }
    return result;
}

// Measures region and endpoint selection, first with free permits in the local region and then with the
// permits of the first regions in use.
void measure_decision(int endpoints_per_region)
{
    const std::unique_ptr<const snapshot> current = snapshot::create(
        make_configuration(endpoints_per_region), {"region-10-a", "region-10"}, nullptr, core::instant());
    std::mt19937_64 random(9);
    std::vector<std::uint32_t> permits(current->endpoints().size(), 3);
    const selection_hooks hooks{
        [&](endpoint_index index) { return permits[index] > 0; },
        [&](endpoint_index index) { return permits[index] > 0 && permits[index]-- > 0; },
        [&](endpoint_index index) { ++permits[index]; },
        [](region_index, region_index) { return true; },
        [](region_index, region_index) {},
        [](region_index, region_index, std::uint64_t) { return true; },
        [&] { return random(); }};
    const region_selector selector(hooks);
    const std::string label = "decision_" + std::to_string(endpoints_per_region);
    constexpr std::size_t decisions = 100'000;
    // Makes decisions while up to active_count earlier requests are active; each decision first ends the
    // oldest one. Returns the time of a decision in nanoseconds and the number of allocations.
    const auto measure_decisions = [&](std::size_t active_count) {
        std::vector<selection> active_requests(active_count);
        const std::size_t allocations_before = allocation_count;
        const double ns = nanoseconds_per_operation(decisions, [&] {
            for (std::size_t index = 0; index < decisions; ++index) {
                selection& active_request = active_requests[index % active_count];
                if (active_request.endpoint) {
                    active_request.state->end_request(active_request.ticket, request_result::success,
                                                      core::instant());
                    hooks.release_permit(*active_request.endpoint);
                }
                steering_request request;
                request.request_id = "0123456789abcdef";
                active_request = selector.select(*current, request, core::instant(), core::wall_time());
            }
        });
        for (const selection& active_request : active_requests) {
            if (active_request.endpoint) {
                active_request.state->end_request(active_request.ticket, request_result::success,
                                                  core::instant());
                hooks.release_permit(*active_request.endpoint);
            }
        }
        return std::pair(ns, allocation_count - allocations_before);
    };
    const std::size_t slots_per_region = static_cast<std::size_t>(endpoints_per_region) * 3;
    const auto [idle_ns, idle_allocations] = measure_decisions(slots_per_region / 2);
    // As many requests are active as seven regions have slots, so that each decision considers regions that
    // are full before it finds a free endpoint.
    const auto [busy_ns, busy_allocations] = measure_decisions(slots_per_region * 7);
    print_metric(label + "_endpoints_ns", idle_ns);
    print_metric(label + "_endpoints_busy_regions_ns", busy_ns);
    print_metric(label + "_endpoints_allocations", static_cast<double>(idle_allocations + busy_allocations),
                 0);
    print_core_fraction(label + "_endpoints_busy_core_share", busy_ns);
}

// Measures lookups, which map a client address to entry instances in a directory of 3,200 instances.
void measure_lookup()
{
    std::mt19937_64 random(13);
    config::configuration configuration = make_configuration(2);
    constexpr int blocks = 20'000;
    for (int index = 0; index < blocks; ++index) {
        const client_block_entry entry = random_entry(random, index % 10 < 3);
        configuration.inventory.client_blocks.push_back(
            {entry.prefix.to_text(), "site-" + std::to_string(entry.site)});
    }
    const std::unique_ptr<const snapshot> current =
        snapshot::create(configuration, {"region-10-a", "region-10"}, nullptr, core::instant());
    std::vector<directory_candidate> members;
    for (int index = 0; index < 3'200; ++index) {
        membership::member member;
        member.instance = "instance-" + std::to_string(index);
        member.id = member.instance + ".1";
        member.region = "region-" + std::to_string(10 + index % 14);
        members.push_back({member, true, 1});
    }
    const entry_directory directory(members);
    constexpr std::size_t lookups = 20'000;
    std::size_t answered_entries = 0;
    const std::size_t allocations_before = allocation_count;
    const double ns = nanoseconds_per_operation(lookups, [&] {
        for (std::size_t index = 0; index < lookups; ++index) {
            const ip::address_v4 client(static_cast<std::uint32_t>(random()));
            answered_entries += look_up(*current, directory, 0, client).count;
        }
    });
    const std::size_t allocated = allocation_count - allocations_before;
    print_metric("lookup_3200_members_ns", ns);
    print_metric("lookup_allocations", static_cast<double>(allocated), 0);
    print_metric("lookup_missing_entries",
                 static_cast<double>(lookups * lookup_answer::capacity - answered_entries), 0);
    print_core_fraction("lookup_core_share", ns);
}

} // namespace

int main()
{
    for (const std::size_t count : {1'000U, 10'000U, 100'000U, 1'000'000U}) {
        measure_memory("mixed", count, family_mix::ipv4_and_ipv6);
    }
    measure_memory("ipv6", target_blocks, family_mix::ipv6_only);
    std::mt19937_64 random(5);
    std::vector<client_block_entry> entries = make_entries(target_blocks, family_mix::ipv4_and_ipv6, random);
    const client_block_table table = client_block_table::create(entries);
    measure_find_against_baseline(table, std::move(entries));
    measure_change_messages();
    measure_decision(14);
    measure_decision(128);
    measure_lookup();
    return 0;
}
