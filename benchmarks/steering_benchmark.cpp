// Measures the client-block table, lookups and decisions. Prints one line for each figure; a figure with a
// bound ends in "max=". The bounds come from the sizes in section 1.4 of the design page: 1 million blocks,
// 650 sites, 3.2 million lookups/s on 3,200 nodes, 3,900 changes a day, and for each node 1.5% of a core,
// 64 MB and 4 KB/s.

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

std::size_t allocations = 0;
std::size_t heap_now = 0;
std::size_t heap_peak = 0;

} // namespace

// The program has one thread. The sizes are those that the allocator hands out, not those asked for.
void* operator new(std::size_t size)
{
    void* memory = std::malloc(size == 0 ? 1 : size); // NOLINT(cppcoreguidelines-no-malloc)
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    ++allocations;
    heap_now += malloc_usable_size(memory);
    heap_peak = std::max(heap_peak, heap_now);
    return memory;
}

void operator delete(void* memory) noexcept
{
    heap_now -= memory == nullptr ? 0 : malloc_usable_size(memory);
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
constexpr std::uint64_t sites = 650;
constexpr double changes_per_day = 3'900;
constexpr double lookups_per_node = 1'000;
constexpr double core_share = 0.015;
constexpr double memory_bytes = 64e6;
constexpr double wire_bytes_per_second = 4'096;
constexpr double seconds_per_day = 86'400;

void print(const std::string& metric, double value, std::optional<double> most = std::nullopt)
{
    std::printf("benchmark=steering metric=%s value=%.6g", metric.c_str(), value);
    if (most) {
        std::printf(" max=%.6g", *most);
    }
    std::printf("\n");
}

// Share of a core at the target's lookups for each node. Not bounded, since time depends on the machine.
void print_share(const std::string& metric, double ns)
{
    std::printf("benchmark=steering metric=%s value=%.6g target=%.6g\n", metric.c_str(),
                ns * 1e-9 * lookups_per_node, core_share);
}

// IPv4 blocks of /18 to /24 or IPv6 blocks of /36 to /48, scattered over the space that registries hand out.
client_block_entry random_entry(std::mt19937_64& random, bool is_v6)
{
    const std::uint64_t bits = random();
    const site_index site = static_cast<site_index>(random() % sites);
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

enum class mix { mixed, only_v6 };

std::vector<client_block_entry> make_entries(std::size_t count, mix families, std::mt19937_64& random)
{
    std::vector<client_block_entry> entries;
    entries.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        entries.push_back(random_entry(random, families == mix::only_v6 || index % 10 < 3));
    }
    return entries;
}

// The baseline: one sorted vector, searched in the same way.
class sorted_vector
{
public:
    explicit sorted_vector(std::vector<client_block_entry> entries) : m_entries(std::move(entries))
    {
        std::sort(m_entries.begin(), m_entries.end(),
                  [](const client_block_entry& left, const client_block_entry& right) {
                      return left.prefix == right.prefix ? left.site < right.site : is_before(left, right);
                  });
        std::uint8_t longest = none;
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
        constexpr std::uint8_t whole = 128;
        const address_prefix wanted = address_prefix::containing(address, whole);
        std::uint8_t length = m_longest_up_to[wanted.length];
        while (length != none) {
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
    static constexpr std::uint8_t none = 0xff;

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

// Addresses of which nine in ten lie in a block.
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

template <typename Work>
double nanoseconds_each(std::size_t count, Work work)
{
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::nano> passed = std::chrono::steady_clock::now() - begin;
    return passed.count() / static_cast<double>(count);
}

template <typename Table>
double find_all(const Table& table, const std::vector<ip::address>& clients, std::uint64_t& sum)
{
    return nanoseconds_each(clients.size(), [&] {
        for (const ip::address& client : clients) {
            const std::optional<client_block_entry> found = table.find(client);
            sum += found ? found->site + 1U : 0;
        }
    });
}

// Look-up time against the baseline in alternating rounds; the best round of each counts.
void measure_look_up(const client_block_table& table, std::vector<client_block_entry> entries)
{
    std::mt19937_64 random(3);
    const std::vector<ip::address> clients = make_clients(entries, random);
    const sorted_vector baseline(std::move(entries));
    double table_ns = 1e12;
    double baseline_ns = 1e12;
    constexpr int rounds = 7;
    std::array<std::uint64_t, 2> sums{};
    const std::size_t before = allocations;
    for (int round = 0; round < rounds; ++round) {
        table_ns = std::min(table_ns, find_all(table, clients, sums[0]));
        baseline_ns = std::min(baseline_ns, find_all(baseline, clients, sums[1]));
    }
    const std::size_t allocated = allocations - before;
    print("find_allocations", static_cast<double>(allocated), 0);
    print("find_answers_unlike_baseline", sums[0] == sums[1] ? 0 : 1, 0);
    print("find_ns", table_ns);
    print("find_baseline_ns", baseline_ns);
    // Sharing nodes between versions must not make look-ups twice as slow as one flat array.
    print("find_ratio_to_baseline", table_ns / baseline_ns, 2);
}

void measure_memory(const char* name, std::size_t count, mix families)
{
    std::mt19937_64 random(5);
    const std::string label = std::string(name) + "_" + std::to_string(count / 1'000) + "k";
    const std::size_t heap_before = heap_now;
    const client_block_table table = client_block_table::create(make_entries(count, families, random));
    const double bytes = static_cast<double>(heap_now - heap_before);
    const double blocks = static_cast<double>(table.size());
    print(label + "_bytes_per_block", bytes / blocks, memory_bytes / static_cast<double>(target_blocks));

    std::vector<client_block_change> changes;
    for (int index = 0; index < static_cast<int>(changes_per_day); ++index) {
        changes.push_back(random_entry(random, families == mix::only_v6 || index % 10 < 3));
    }
    copied_nodes one;
    const std::size_t before_one = heap_now;
    const client_block_table changed = table.with_changes({changes.data(), 1}, &one);
    print(label + "_nodes_copied_by_one_change", static_cast<double>(one.nodes), 5);
    print(label + "_bytes_copied_by_one_change", static_cast<double>(one.bytes));
    print(label + "_bytes_per_block_both_versions",
          (bytes + static_cast<double>(heap_now - before_one)) / blocks,
          memory_bytes / static_cast<double>(target_blocks));
    copied_nodes day;
    const client_block_table next_day = table.with_changes(changes, &day);
    print(label + "_bytes_copied_by_a_day_at_once", static_cast<double>(day.bytes));

    // The worst case: every block changes.
    heap_peak = heap_now;
    const std::size_t before_replacement = heap_now;
    const client_block_table replaced = table.with_entries(make_entries(count, families, random));
    const double peak = bytes + static_cast<double>(heap_peak - before_replacement);
    print(label + "_peak_bytes_replacing_all", peak, memory_bytes);
}

void measure_wire()
{
    std::mt19937_64 random(7);
    config::configuration changes;
    const std::size_t empty = config::to_json(changes).size();
    for (int index = 0; index < static_cast<int>(changes_per_day); ++index) {
        const client_block_entry entry = random_entry(random, index % 10 < 3);
        changes.inventory.client_blocks.push_back(
            {entry.prefix.to_text(), "site-" + std::to_string(entry.site)});
    }
    const double entries = static_cast<double>(config::to_json(changes).size() - empty);
    // Each change travels as its own message with the envelope of a configuration.
    const double day = entries + changes_per_day * static_cast<double>(empty);
    print("wire_bytes_per_change", day / changes_per_day);
    print("wire_bytes_per_day", day);
    print("wire_bytes_per_second", day / seconds_per_day, wire_bytes_per_second);
}

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
    for (std::uint64_t index = 0; index < sites; ++index) {
        const std::string region = "region-" + std::to_string(10 + index % 14);
        result.inventory.sites.push_back({"site-" + std::to_string(index), {region}});
    }
    return result;
}

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
    const auto decide = [&](std::size_t held) {
        std::vector<selection> running(held);
        const std::size_t before = allocations;
        const double ns = nanoseconds_each(decisions, [&] {
            for (std::size_t index = 0; index < decisions; ++index) {
                selection& slot = running[index % held];
                if (slot.endpoint) {
                    slot.state->end_request(slot.ticket, request_result::success, core::instant());
                    hooks.release_permit(*slot.endpoint);
                }
                steering_request request;
                request.request_id = "0123456789abcdef";
                slot = selector.select(*current, request, core::instant(), core::wall_time());
            }
        });
        for (const selection& slot : running) {
            if (slot.endpoint) {
                slot.state->end_request(slot.ticket, request_result::success, core::instant());
                hooks.release_permit(*slot.endpoint);
            }
        }
        return std::pair(ns, allocations - before);
    };
    const std::size_t local_slots = static_cast<std::size_t>(endpoints_per_region) * 3;
    const auto [idle_ns, idle_allocations] = decide(local_slots / 2);
    // All slots of seven regions are taken, so that each decision goes through them in vain.
    const auto [busy_ns, busy_allocations] = decide(local_slots * 7);
    print(label + "_endpoints_ns", idle_ns);
    print(label + "_endpoints_busy_regions_ns", busy_ns);
    print(label + "_endpoints_allocations", static_cast<double>(idle_allocations + busy_allocations), 0);
    print_share(label + "_endpoints_busy_core_share", busy_ns);
}

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
    std::size_t ranked = 0;
    const std::size_t before = allocations;
    const double ns = nanoseconds_each(lookups, [&] {
        for (std::size_t index = 0; index < lookups; ++index) {
            const ip::address_v4 client(static_cast<std::uint32_t>(random()));
            ranked += look_up(*current, directory, 0, client).count;
        }
    });
    const std::size_t allocated = allocations - before;
    print("lookup_3200_members_ns", ns);
    print("lookup_allocations", static_cast<double>(allocated), 0);
    print("lookup_missing_entries", static_cast<double>(lookups * lookup_answer::capacity - ranked), 0);
    print_share("lookup_core_share", ns);
}

} // namespace

int main()
{
    for (const std::size_t count : {1'000U, 10'000U, 100'000U, 1'000'000U}) {
        measure_memory("mixed", count, mix::mixed);
    }
    measure_memory("ipv6", target_blocks, mix::only_v6);
    std::mt19937_64 random(5);
    std::vector<client_block_entry> entries = make_entries(target_blocks, mix::mixed, random);
    const client_block_table table = client_block_table::create(entries);
    measure_look_up(table, std::move(entries));
    measure_wire();
    measure_decision(14);
    measure_decision(128);
    measure_lookup();
    return 0;
}
