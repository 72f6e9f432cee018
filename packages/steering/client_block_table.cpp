// Builds, updates, compares and searches client-block tables, which hold one prefix tree for each address
// family.

#include "steering/client_block_table.h"

#include <algorithm>
#include <tuple>

namespace quetzalspan::steering
{

namespace
{

bool is_before(const address_prefix& left, const address_prefix& right)
{
    return std::tie(left.is_v6, left.bytes, left.length) < std::tie(right.is_v6, right.bytes, right.length);
}

template <typename Key>
prefix_tree<Key> build_tree(std::span<const client_block_entry> sorted_entries)
{
    std::size_t position = 0;
    return prefix_tree<Key>::build([&]() -> std::optional<typename prefix_tree<Key>::entry> {
        if (position == sorted_entries.size()) {
            return std::nullopt;
        }
        const client_block_entry& item = sorted_entries[position];
        ++position;
        return typename prefix_tree<Key>::entry{ordered_prefix<Key>::from_prefix(item.prefix), item.site};
    });
}

template <typename Key>
std::optional<client_block_entry> to_entry(const std::optional<typename prefix_tree<Key>::entry>& found)
{
    if (!found) {
        return std::nullopt;
    }
    return client_block_entry{found->prefix.to_prefix(), found->site};
}

void add_cost(copied_nodes* total, const copied_nodes& cost)
{
    if (total != nullptr) {
        total->nodes += cost.nodes;
        total->bytes += cost.bytes;
    }
}

// Applies the changes that belong to one address family. Without such changes the result shares the whole
// tree.
template <typename Key>
prefix_tree<Key> apply_changes(const prefix_tree<Key>& tree, std::span<const client_block_change> changes,
                               bool is_v6, copied_nodes* cost)
{
    std::optional<prefix_tree_editor<Key>> editor;
    for (const client_block_change& change : changes) {
        if (change.prefix.is_v6 != is_v6) {
            continue;
        }
        if (!editor) {
            editor.emplace(tree);
        }
        editor->set(ordered_prefix<Key>::from_prefix(change.prefix), change.site);
    }
    if (!editor) {
        return tree;
    }
    add_cost(cost, editor->cost());
    return editor->finish();
}

} // namespace

client_block_table client_block_table::create(std::vector<client_block_entry> entries)
{
    sort_and_merge(entries);
    return build(entries);
}

client_block_table client_block_table::build(const std::vector<client_block_entry>& sorted_entries)
{
    const auto first_v6 =
        std::partition_point(sorted_entries.begin(), sorted_entries.end(),
                             [](const client_block_entry& item) { return !item.prefix.is_v6; });
    client_block_table result;
    result.m_v4 = build_tree<ipv4_key>({sorted_entries.begin(), first_v6});
    result.m_v6 = build_tree<ipv6_key>({first_v6, sorted_entries.end()});
    return result;
}

void client_block_table::sort_and_merge(std::vector<client_block_entry>& entries)
{
    // The site is part of the sort key because a stable sort would need memory for a second list.
    std::sort(entries.begin(), entries.end(),
              [](const client_block_entry& left, const client_block_entry& right) {
                  if (left.prefix == right.prefix) {
                      return left.site < right.site;
                  }
                  return is_before(left.prefix, right.prefix);
              });
    std::size_t kept = 0;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const bool is_repeated =
            index + 1 < entries.size() && entries[index + 1].prefix == entries[index].prefix;
        if (!is_repeated) {
            entries[kept] = entries[index];
            ++kept;
        }
    }
    entries.resize(kept);
}

client_block_table client_block_table::with_changes(std::span<const client_block_change> changes,
                                                    copied_nodes* cost) const
{
    client_block_table result;
    result.m_v4 = apply_changes(m_v4, changes, false, cost);
    result.m_v6 = apply_changes(m_v6, changes, true, cost);
    return result;
}

client_block_table client_block_table::with_entries(std::vector<client_block_entry> entries) const
{
    sort_and_merge(entries);
    // The changes are counted before they are collected, since the changes between two unrelated lists need
    // more memory than both tables.
    std::size_t count = 0;
    visit_changes(entries, [&count](const client_block_change&) { ++count; });
    if (static_cast<double>(count) > rebuild_threshold_fraction * static_cast<double>(entries.size())) {
        return build(entries);
    }
    return with_changes(collect_changes(entries, count));
}

std::vector<client_block_change>
client_block_table::compute_changes_to(std::vector<client_block_entry> entries) const
{
    sort_and_merge(entries);
    return collect_changes(entries, 0);
}

std::vector<client_block_change>
client_block_table::collect_changes(const std::vector<client_block_entry>& sorted_entries,
                                    std::size_t expected_count) const
{
    std::vector<client_block_change> changes;
    changes.reserve(expected_count);
    visit_changes(sorted_entries,
                  [&changes](const client_block_change& change) { changes.push_back(change); });
    return changes;
}

template <typename Visit>
void client_block_table::visit_changes(const std::vector<client_block_entry>& sorted_entries,
                                       Visit visit) const
{
    std::size_t position = 0;
    const auto compare = [&](const client_block_entry& current_entry) {
        while (position < sorted_entries.size() &&
               is_before(sorted_entries[position].prefix, current_entry.prefix)) {
            visit(sorted_entries[position]);
            ++position;
        }
        if (position == sorted_entries.size() || !(sorted_entries[position].prefix == current_entry.prefix)) {
            visit({current_entry.prefix, no_site});
            return;
        }
        if (sorted_entries[position].site != current_entry.site) {
            visit(sorted_entries[position]);
        }
        ++position;
    };
    m_v4.for_each([&](const prefix_entry<ipv4_key>& item) { compare({item.prefix.to_prefix(), item.site}); });
    m_v6.for_each([&](const prefix_entry<ipv6_key>& item) { compare({item.prefix.to_prefix(), item.site}); });
    for (; position < sorted_entries.size(); ++position) {
        visit(sorted_entries[position]);
    }
}

std::optional<client_block_entry> client_block_table::find(const boost::asio::ip::address& address) const
{
    constexpr std::uint8_t max_length = 128;
    const address_prefix wanted = address_prefix::containing(address, max_length);
    if (wanted.is_v6) {
        return to_entry<ipv6_key>(m_v6.find(ipv6_key::from_prefix(wanted)));
    }
    return to_entry<ipv4_key>(m_v4.find(ipv4_key::from_prefix(wanted)));
}

std::size_t client_block_table::count_bytes(node_set& seen) const
{
    return m_v4.count_bytes(seen) + m_v6.count_bytes(seen);
}

} // namespace quetzalspan::steering
