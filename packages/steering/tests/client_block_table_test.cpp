// Tests of address prefixes and of the client-block table, which is compared with a linear search.

#include "core/rcu_cell.h"
#include "steering/client_block_table.h"
#include "steering/tests/allocation_count.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <map>
#include <random>
#include <thread>

using namespace quetzalspan;
using namespace quetzalspan::steering;

namespace
{

namespace ip = boost::asio::ip;

// Returns a prefix from a small part of the address space, so that prefixes often nest or are equal.
address_prefix random_prefix(std::mt19937_64& random)
{
    const std::uint64_t bits = random();
    if (random() % 2 == 0) {
        const ip::address_v4 address(static_cast<std::uint32_t>(0x0a000000U | (bits & 0xfffffU)));
        return address_prefix::containing(address, static_cast<std::uint8_t>(random() % 33));
    }
    ip::address_v6::bytes_type bytes{0x20, 0x01, 0x0d, 0xb8};
    bytes[6] = static_cast<std::uint8_t>(bits);
    bytes[7] = static_cast<std::uint8_t>(bits >> 8U);
    bytes[9] = static_cast<std::uint8_t>(bits >> 16U);
    bytes[15] = static_cast<std::uint8_t>(bits >> 24U);
    return address_prefix::containing(ip::address_v6(bytes), static_cast<std::uint8_t>(random() % 129));
}

ip::address to_address(const address_prefix& prefix)
{
    if (prefix.is_v6) {
        return ip::address_v6(prefix.bytes);
    }
    return ip::address_v4(ipv4_key::from_prefix(prefix).value);
}

// Reference implementation that searches all entries.
struct linear_search_table {
    std::map<std::string, client_block_entry> entries;

    void set(const client_block_change& change)
    {
        if (change.site == no_site) {
            entries.erase(change.prefix.to_text());
        } else {
            entries[change.prefix.to_text()] = change;
        }
    }

    std::optional<client_block_entry> find(const ip::address& address) const
    {
        std::optional<client_block_entry> best;
        for (const auto& [text, entry] : entries) {
            const bool contains = address_prefix::containing(address, entry.prefix.length) == entry.prefix;
            if (contains && (!best || entry.prefix.length > best->prefix.length)) {
                best = entry;
            }
        }
        return best;
    }

    std::vector<client_block_entry> list() const
    {
        std::vector<client_block_entry> result;
        for (const auto& [text, entry] : entries) {
            result.push_back(entry);
        }
        return result;
    }
};

void check_equal(const linear_search_table& expected, const client_block_table& actual,
                 std::mt19937_64& random)
{
    LONGS_EQUAL(expected.entries.size(), actual.size());
    for (int count = 0; count < 60; ++count) {
        address_prefix wanted = random_prefix(random);
        const ip::address address = to_address(wanted);
        CHECK_TRUE(expected.find(address) == actual.find(address));
    }
    CHECK_TRUE(actual.compute_changes_to(expected.list()).empty());
}

} // namespace

TEST_GROUP(client_block_table){};

// Guards against malformed text that is parsed as some other prefix.
TEST(client_block_table, malformed_prefixes_are_rejected)
{
    for (const char* valid : {"10.0.0.0/8", "0.0.0.0/0", "::/0", "2001:db8::/32", "10.1.2.3/32"}) {
        STRCMP_EQUAL(valid, address_prefix::parse(valid)->to_text().c_str());
    }
    STRCMP_EQUAL("10.1.2.3/32", address_prefix::parse("10.1.2.3")->to_text().c_str());
    for (const char* malformed :
         {"", "/8", "10.0.0.0/", "10.0.0.0/33", "10.0.0.0/8x", "10.0.0.0/-1", "10.0.0.1/8", "2001:db8::/129",
          "fe80::1%1/128", "10.0.0/8", " 10.0.0.0/8", "2001:db8::1/64"}) {
        CHECK_FALSE_TEXT(address_prefix::parse(malformed).has_value(), malformed);
    }
}

// Guards against a wrong longest match after a series of changes, and against a change that is visible in an
// earlier version, which may still be in use by a reader.
TEST(client_block_table, changes_match_a_linear_search_and_leave_earlier_versions_unchanged)
{
    std::mt19937_64 random(11);
    linear_search_table expected;
    client_block_table actual;
    for (int round = 0; round < 60; ++round) {
        const linear_search_table expected_before = expected;
        const client_block_table before = actual;
        std::vector<client_block_change> changes;
        // The table first grows to about 1,500 entries, which splits leaves; then nearly all entries are
        // removed, which merges leaves.
        const bool is_growing = round < 30;
        for (int count = 0; count < 100; ++count) {
            client_block_change change{random_prefix(random), static_cast<site_index>(random() % 650)};
            if (random() % 10 < (is_growing ? 2U : 9U) && !expected.entries.empty()) {
                auto entry = expected.entries.lower_bound(change.prefix.to_text());
                entry = entry == expected.entries.end() ? expected.entries.begin() : entry;
                change = {entry->second.prefix, no_site};
            }
            changes.push_back(change);
            expected.set(change);
        }
        actual = actual.with_changes(changes);
        check_equal(expected, actual, random);
        check_equal(expected_before, before, random);
        check_equal(expected, client_block_table::create(expected.list()), random);
        check_equal(expected, before.with_entries(expected.list()), random);
    }
}

// Guards against branches that overflow, and against branches that lose half of their leaves or keep a wrong
// first prefix when they split.
TEST(client_block_table, large_tables_split_branches)
{
    constexpr std::uint32_t blocks = 40'000;
    std::vector<client_block_change> changes;
    for (std::uint32_t index = 0; index < blocks; ++index) {
        // An odd factor modulo a power of two yields each number once, in scattered order.
        const std::uint32_t scattered = (index * 40'503U) % 65'536U;
        changes.push_back({address_prefix::containing(ip::address_v4(scattered << 8U), 24),
                           static_cast<site_index>(scattered % 650)});
    }
    const client_block_table table = client_block_table().with_changes(changes);
    LONGS_EQUAL(blocks, table.size());
    for (const client_block_change& change : changes) {
        CHECK_TRUE(table.find(to_address(change.prefix)) == change);
    }
    std::vector<client_block_change> removals = changes;
    for (client_block_change& removal : removals) {
        removal.site = no_site;
    }
    LONGS_EQUAL(0, table.with_changes(removals).size());
    LONGS_EQUAL(blocks, table.size());
}

// Guards against an IPv4 client that is not found because its address arrived as an IPv4-mapped IPv6 address.
TEST(client_block_table, mapped_addresses_count_as_ipv4)
{
    const client_block_table table = client_block_table::create({{*address_prefix::parse("10.0.0.0/8"), 3}});
    LONGS_EQUAL(3, table.find(ip::make_address("::ffff:10.1.2.3"))->site);
    CHECK_FALSE(table.find(ip::make_address("::a01:203")).has_value());
}

// Guards against a change that copies the whole table instead of one path, and against searches that
// allocate.
TEST(client_block_table, one_change_copies_one_path_and_a_search_allocates_nothing)
{
    std::vector<client_block_entry> entries;
    for (std::uint32_t index = 0; index < 100'000; ++index) {
        entries.push_back({address_prefix::containing(ip::address_v4(index << 8U), 24), 1});
    }
    const client_block_table table = client_block_table::create(std::move(entries));
    copied_nodes cost;
    const std::array<client_block_change, 1> change{{{*address_prefix::parse("0.9.9.0/24"), 2}}};
    const client_block_table changed = table.with_changes(change, &cost);
    LONGS_EQUAL(3, cost.nodes);
    node_set seen;
    const std::size_t table_bytes = table.count_bytes(seen);
    const std::size_t added_bytes = changed.count_bytes(seen);
    CHECK_TRUE(added_bytes * 50 < table_bytes);
    const std::size_t allocations_before = tests::allocation_count();
    const ip::address address = ip::make_address_v4(0x00090907U);
    const std::optional<client_block_entry> found = changed.find(address);
    LONGS_EQUAL(allocations_before, tests::allocation_count());
    // Checks that the allocation counter detects an allocation.
    const std::unique_ptr<int> allocated = std::make_unique<int>(1);
    LONGS_EQUAL(allocations_before + 1, tests::allocation_count());
    LONGS_EQUAL(2, found->site);
    LONGS_EQUAL(1, table.find(address)->site);
}

// Guards against a reader that sees a partly changed table or a freed node while a writer publishes new
// versions.
TEST(client_block_table, versions_are_replaced_while_being_read)
{
    const address_prefix prefix = *address_prefix::parse("10.0.0.0/24");
    const ip::address address = ip::make_address("10.0.0.9");
    std::vector<client_block_entry> entries;
    for (std::uint32_t index = 0; index < 2'000; ++index) {
        entries.push_back({address_prefix::containing(ip::address_v4(0x0a000000U + (index << 8U)), 24), 0});
    }
    core::rcu_cell<client_block_table> cell(
        std::make_unique<const client_block_table>(client_block_table::create(entries)));
    std::atomic<bool> is_done{false};
    std::atomic<long> failures{0};
    std::vector<std::thread> readers;
    for (int index = 0; index < 2; ++index) {
        readers.emplace_back([&] {
            site_index last = 0;
            while (!is_done.load()) {
                const core::rcu_read_section section;
                const std::optional<client_block_entry> found = cell.read(section).find(address);
                if (!found || found->site < last) {
                    ++failures;
                    return;
                }
                last = found->site;
            }
        });
    }
    client_block_table current = client_block_table::create(entries);
    for (site_index site = 1; site <= 200; ++site) {
        const std::array<client_block_change, 1> change{{{prefix, site}}};
        current = current.with_changes(change);
        cell.publish(std::make_unique<const client_block_table>(current));
    }
    is_done = true;
    for (std::thread& reader : readers) {
        reader.join();
    }
    LONGS_EQUAL(0, failures.load());
}
