// The node types of the prefix tree: root, branches and leaves. Nodes that belong to a prefix_tree are
// immutable; only a prefix_tree_editor changes nodes, before its tree is finished.

#pragma once

#include "core/check.h"
#include "steering/address_key.h"
#include "steering/snapshot_indexes.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace quetzalspan::steering
{

inline constexpr std::size_t prefix_leaf_capacity = 256;
inline constexpr std::size_t prefix_branch_capacity = 64;
// Stands for an absent prefix length.
inline constexpr std::uint8_t no_prefix_length = 0xff;

template <typename Key>
struct prefix_entry {
    ordered_prefix<Key> prefix;
    site_index site = no_site;
};

// Holds sorted entries. Keys, sites and lengths are stored in separate arrays to avoid padding: an entry
// takes 7 bytes for IPv4 and 19 bytes for IPv6.
template <typename Key>
struct prefix_leaf {
    using prefix_type = ordered_prefix<Key>;

    std::array<Key, prefix_leaf_capacity> keys{};
    std::array<site_index, prefix_leaf_capacity> sites{};
    std::array<std::uint8_t, prefix_leaf_capacity> lengths{};
    std::uint16_t count = 0;

    prefix_type prefix_at(std::size_t position) const { return {keys[position], lengths[position]}; }
    prefix_entry<Key> at(std::size_t position) const { return {prefix_at(position), sites[position]}; }

    // Returns the position of the first entry whose prefix does not sort before this one, or `count`.
    std::size_t lower_bound(const prefix_type& prefix) const
    {
        std::size_t position = static_cast<std::size_t>(
            std::lower_bound(keys.begin(), keys.begin() + count, prefix.key) - keys.begin());
        while (position < count && prefix_at(position) < prefix) {
            ++position;
        }
        return position;
    }

    void insert(std::size_t position, const prefix_entry<Key>& item)
    {
        core::check(count < prefix_leaf_capacity, "insertion into a full leaf of the prefix tree");
        std::move_backward(keys.begin() + position, keys.begin() + count, keys.begin() + count + 1);
        std::move_backward(sites.begin() + position, sites.begin() + count, sites.begin() + count + 1);
        std::move_backward(lengths.begin() + position, lengths.begin() + count, lengths.begin() + count + 1);
        keys[position] = item.prefix.key;
        lengths[position] = item.prefix.length;
        sites[position] = item.site;
        ++count;
    }

    void erase(std::size_t position)
    {
        std::move(keys.begin() + position + 1, keys.begin() + count, keys.begin() + position);
        std::move(sites.begin() + position + 1, sites.begin() + count, sites.begin() + position);
        std::move(lengths.begin() + position + 1, lengths.begin() + count, lengths.begin() + position);
        --count;
    }

    // Moves the second half of the entries to the end of another leaf.
    void move_upper_half(prefix_leaf& upper)
    {
        const std::size_t kept = count / 2;
        for (std::size_t position = kept; position < count; ++position) {
            upper.insert(upper.count, at(position));
        }
        count = static_cast<std::uint16_t>(kept);
    }
};

// Holds leaves in sorted order, with the first prefix of each leaf as its search key.
template <typename Key>
struct prefix_branch {
    using prefix_type = ordered_prefix<Key>;

    std::array<prefix_type, prefix_branch_capacity> first_prefixes{};
    std::array<std::shared_ptr<const prefix_leaf<Key>>, prefix_branch_capacity> leaves{};
    std::uint16_t count = 0;

    // Returns the position of the leaf that this prefix belongs to: the last one whose first prefix does not
    // sort after it, or the first leaf if there is none.
    std::size_t find_child(const prefix_type& prefix) const
    {
        const auto after = std::upper_bound(first_prefixes.begin(), first_prefixes.begin() + count, prefix);
        return after == first_prefixes.begin() ? 0
                                               : static_cast<std::size_t>(after - first_prefixes.begin()) - 1;
    }

    void insert(std::size_t position, const prefix_type& first_prefix,
                std::shared_ptr<const prefix_leaf<Key>> child)
    {
        core::check(count < prefix_branch_capacity, "insertion into a full branch of the prefix tree");
        std::move_backward(first_prefixes.begin() + position, first_prefixes.begin() + count,
                           first_prefixes.begin() + count + 1);
        std::move_backward(leaves.begin() + position, leaves.begin() + count, leaves.begin() + count + 1);
        first_prefixes[position] = first_prefix;
        leaves[position] = std::move(child);
        ++count;
    }

    void erase(std::size_t position)
    {
        std::move(first_prefixes.begin() + position + 1, first_prefixes.begin() + count,
                  first_prefixes.begin() + position);
        std::move(leaves.begin() + position + 1, leaves.begin() + count, leaves.begin() + position);
        --count;
        leaves[count].reset();
    }

    // Moves the second half of the leaves to the end of another branch.
    void move_upper_half(prefix_branch& upper)
    {
        const std::size_t kept = count / 2;
        for (std::size_t position = kept; position < count; ++position) {
            upper.insert(upper.count, first_prefixes[position], std::move(leaves[position]));
            leaves[position].reset();
        }
        count = static_cast<std::uint16_t>(kept);
    }
};

// Holds the branches in sorted order and the prefix lengths that the tree contains.
template <typename Key>
struct prefix_root {
    using prefix_type = ordered_prefix<Key>;

    struct child {
        prefix_type first_prefix;
        std::shared_ptr<const prefix_branch<Key>> node;
    };

    std::vector<child> children;
    // Number of entries in the tree.
    std::size_t size = 0;
    // Number of entries for each prefix length.
    std::array<std::uint32_t, Key::bits + 1> length_counts{};
    // For each prefix length: the greatest length of an entry that does not exceed it, or no_prefix_length.
    // Recomputed only by update_lengths().
    std::array<std::uint8_t, Key::bits + 1> longest_length_up_to = make_unset_lengths();

    static constexpr std::array<std::uint8_t, Key::bits + 1> make_unset_lengths()
    {
        std::array<std::uint8_t, Key::bits + 1> lengths{};
        lengths.fill(no_prefix_length);
        return lengths;
    }

    // Computes longest_length_up_to from length_counts.
    void update_lengths()
    {
        std::uint8_t longest = no_prefix_length;
        for (std::size_t length = 0; length <= Key::bits; ++length) {
            longest = length_counts[length] > 0 ? static_cast<std::uint8_t>(length) : longest;
            longest_length_up_to[length] = longest;
        }
    }

    // Returns the position of the branch that this prefix belongs to: the last one whose first prefix does
    // not sort after it, or the first branch if there is none.
    std::size_t find_child(const prefix_type& prefix) const
    {
        const auto after = std::upper_bound(
            children.begin(), children.end(), prefix,
            [](const prefix_type& wanted, const child& item) { return wanted < item.first_prefix; });
        return after == children.begin() ? 0 : static_cast<std::size_t>(after - children.begin()) - 1;
    }
};

} // namespace quetzalspan::steering
