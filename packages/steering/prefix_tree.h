// A persistent (copy-on-write) search tree of address prefixes for longest-prefix match: a change copies the
// nodes on the path to the changed entry and shares all others with the previous version.

#pragma once

#include "steering/prefix_tree_nodes.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace quetzalspan::steering
{

using node_set = absl::flat_hash_set<const void*>;

// Immutable. The tree has three levels: one root, branches of up to 64 leaves, and leaves of up to 256
// prefixes.
template <typename Key>
class prefix_tree
{
public:
    using prefix_type = ordered_prefix<Key>;

    using entry = prefix_entry<Key>;

    prefix_tree() : m_root(std::make_shared<const root>()) {}

    // Builds a tree from entries with distinct prefixes in sorted order. next() returns one entry at each
    // call, and nothing after the last one.
    template <typename Next>
    static prefix_tree build(Next next)
    {
        std::shared_ptr<root> new_root = std::make_shared<root>();
        std::shared_ptr<branch> current_branch;
        std::shared_ptr<leaf> current_leaf;
        for (std::optional<entry> item = next(); item; item = next()) {
            if (!current_leaf || current_leaf->count == bulk_build_leaf_size) {
                if (!current_branch || current_branch->count == bulk_build_branch_size) {
                    current_branch = std::make_shared<branch>();
                    new_root->children.push_back({item->prefix, current_branch});
                }
                current_leaf = std::make_shared<leaf>();
                current_branch->insert(current_branch->count, item->prefix, current_leaf);
            }
            current_leaf->insert(current_leaf->count, *item);
            ++new_root->size;
            ++new_root->length_counts[item->prefix.length];
        }
        new_root->children.shrink_to_fit();
        new_root->update_lengths();
        prefix_tree result;
        result.m_root = std::move(new_root);
        return result;
    }

    std::size_t size() const { return m_root->size; }

    // Returns the entry with the longest prefix that contains the address, or nothing if no prefix does.
    //
    // All prefixes that sort between the longest match and the address lie inside the longest match. If the
    // last entry at or before the address does not contain the address, the match can therefore be no longer
    // than the number of leading bits that the two share. The search then continues with the address cut to
    // the greatest prefix length in use up to that number. The length decreases at each step, so the search
    // ends.
    std::optional<entry> find(Key address) const
    {
        std::uint8_t length = m_root->longest_length_up_to[Key::bits];
        while (length != no_prefix_length) {
            const std::optional<entry> nearest = find_floor({address.first_bits(length), length});
            if (!nearest) {
                return std::nullopt;
            }
            const unsigned shared_bits = nearest->prefix.key.common_prefix_length(address);
            if (shared_bits >= nearest->prefix.length) {
                return nearest;
            }
            length = m_root->longest_length_up_to[shared_bits];
        }
        return std::nullopt;
    }

    // Calls visit(entry) for each entry in sorted order.
    template <typename Visit>
    void for_each(Visit visit) const
    {
        for (const root_child& child : m_root->children) {
            for (std::size_t index = 0; index < child.node->count; ++index) {
                const leaf& node = *child.node->leaves[index];
                for (std::size_t position = 0; position < node.count; ++position) {
                    visit(node.at(position));
                }
            }
        }
    }

    // Returns the total size in bytes of the nodes that are not in `seen`, and adds these nodes to it.
    std::size_t count_bytes(node_set& seen) const
    {
        if (!seen.insert(m_root.get()).second) {
            return 0;
        }
        std::size_t bytes = sizeof(root) + m_root->children.capacity() * sizeof(root_child);
        for (const root_child& child : m_root->children) {
            if (!seen.insert(child.node.get()).second) {
                continue;
            }
            bytes += sizeof(branch);
            for (std::size_t index = 0; index < child.node->count; ++index) {
                bytes += seen.insert(child.node->leaves[index].get()).second ? sizeof(leaf) : 0;
            }
        }
        return bytes;
    }

private:
    // Number of entries in a full leaf and of leaves in a full branch of a tree from build(). They are below
    // the capacities, so that the first changes to a new tree do not each split a node.
    static constexpr std::size_t bulk_build_leaf_size = 232;
    static constexpr std::size_t bulk_build_branch_size = 58;

    template <typename>
    friend class prefix_tree_editor;

    using leaf = prefix_leaf<Key>;
    using branch = prefix_branch<Key>;
    using root = prefix_root<Key>;
    using root_child = typename root::child;

    // Returns the last entry whose prefix sorts at or before this one, or nothing if all sort after it.
    std::optional<entry> find_floor(const prefix_type& prefix) const
    {
        if (m_root->children.empty()) {
            return std::nullopt;
        }
        const branch& parent = *m_root->children[m_root->find_child(prefix)].node;
        const leaf& node = *parent.leaves[parent.find_child(prefix)];
        const std::size_t position = node.lower_bound(prefix);
        if (position < node.count && node.prefix_at(position) == prefix) {
            return node.at(position);
        }
        if (position == 0) {
            return std::nullopt;
        }
        return node.at(position - 1);
    }

    // Never null.
    std::shared_ptr<const root> m_root;
};

} // namespace quetzalspan::steering
