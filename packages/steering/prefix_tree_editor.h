// Applies a batch of changes to a prefix tree by copying the nodes on the path to each change.

#pragma once

#include "steering/prefix_tree.h"

#include <cstddef>
#include <memory>
#include <utility>

namespace quetzalspan::steering
{

// Number and total size in bytes of the nodes that a batch of changes copied or created by a split.
struct copied_nodes {
    std::size_t nodes = 0;
    std::size_t bytes = 0;
};

// Builds a changed version of a tree; the original tree stays as it is. A shared node is copied at its first
// change, and later changes are made in this copy.
template <typename Key>
class prefix_tree_editor
{
public:
    using prefix_type = ordered_prefix<Key>;
    using entry = prefix_entry<Key>;

    explicit prefix_tree_editor(const prefix_tree<Key>& base) : m_root(std::make_shared<root>(*base.m_root))
    {
        count_copy(sizeof(root) + m_root->children.size() * sizeof(typename root::child));
    }

    // Sets the site of a prefix, or removes the prefix if the site is no_site.
    void set(const prefix_type& prefix, site_index site)
    {
        if (m_root->children.empty()) {
            if (site == no_site) {
                return;
            }
            std::shared_ptr<branch> first_branch = std::make_shared<branch>();
            std::shared_ptr<leaf> first_leaf = std::make_shared<leaf>();
            m_mutable_nodes.insert(first_branch.get());
            m_mutable_nodes.insert(first_leaf.get());
            first_branch->insert(0, prefix, first_leaf);
            m_root->children.push_back({prefix, first_branch});
        }
        const std::size_t branch_position = m_root->find_child(prefix);
        branch& parent = mutable_branch(branch_position);
        const std::size_t leaf_position = parent.find_child(prefix);
        leaf& node = mutable_leaf(parent, leaf_position);
        const std::size_t position = node.lower_bound(prefix);
        const bool is_present = position < node.count && node.prefix_at(position) == prefix;
        if (site == no_site) {
            if (is_present) {
                erase(branch_position, leaf_position, position);
            }
        } else if (is_present) {
            node.sites[position] = site;
        } else {
            insert(branch_position, leaf_position, position, {prefix, site});
        }
    }

    // Returns the changed tree. The editor must not be used afterwards.
    prefix_tree<Key> finish()
    {
        m_root->update_lengths();
        prefix_tree<Key> result;
        result.m_root = std::move(m_root);
        return result;
    }

    const copied_nodes& cost() const { return m_cost; }

private:
    using leaf = prefix_leaf<Key>;
    using branch = prefix_branch<Key>;
    using root = prefix_root<Key>;

    void count_copy(std::size_t bytes)
    {
        ++m_cost.nodes;
        m_cost.bytes += bytes;
    }

    // Returns the branch for modification, after copying it if it is shared with another tree. The root of
    // the editor keeps the nodes in m_mutable_nodes alive, so that none of their addresses can be reused for
    // another node.
    branch& mutable_branch(std::size_t position)
    {
        std::shared_ptr<const branch>& node = m_root->children[position].node;
        if (!m_mutable_nodes.contains(node.get())) {
            std::shared_ptr<branch> copy = std::make_shared<branch>(*node);
            m_mutable_nodes.insert(copy.get());
            count_copy(sizeof(branch));
            node = std::move(copy);
        }
        return const_cast<branch&>(*node);
    }

    // Returns the leaf for modification, after copying it if it is shared with another tree.
    leaf& mutable_leaf(branch& parent, std::size_t position)
    {
        std::shared_ptr<const leaf>& node = parent.leaves[position];
        if (!m_mutable_nodes.contains(node.get())) {
            std::shared_ptr<leaf> copy = std::make_shared<leaf>(*node);
            m_mutable_nodes.insert(copy.get());
            count_copy(sizeof(leaf));
            node = std::move(copy);
        }
        return const_cast<leaf&>(*node);
    }

    void insert(std::size_t branch_position, std::size_t leaf_position, std::size_t position,
                const entry& item)
    {
        ++m_root->size;
        ++m_root->length_counts[item.prefix.length];
        branch* parent = &mutable_branch(branch_position);
        leaf* node = &mutable_leaf(*parent, leaf_position);
        if (node->count == prefix_leaf_capacity) {
            if (parent->count == prefix_branch_capacity) {
                split_branch(branch_position);
                if (leaf_position >= parent->count) {
                    leaf_position -= parent->count;
                    ++branch_position;
                    parent = &mutable_branch(branch_position);
                }
            }
            std::shared_ptr<leaf> upper = std::make_shared<leaf>();
            m_mutable_nodes.insert(upper.get());
            count_copy(sizeof(leaf));
            node->move_upper_half(*upper);
            parent->insert(leaf_position + 1, upper->prefix_at(0), upper);
            if (position > node->count) {
                position -= node->count;
                ++leaf_position;
                node = upper.get();
            }
        }
        node->insert(position, item);
        update_first_prefixes(branch_position, leaf_position);
    }

    void erase(std::size_t branch_position, std::size_t leaf_position, std::size_t position)
    {
        branch& parent = mutable_branch(branch_position);
        leaf& node = mutable_leaf(parent, leaf_position);
        --m_root->size;
        --m_root->length_counts[node.lengths[position]];
        node.erase(position);
        if (node.count == 0) {
            m_mutable_nodes.erase(&node);
            parent.erase(leaf_position);
        } else {
            update_first_prefixes(branch_position, leaf_position);
            merge_sparse_leaf(parent, leaf_position);
        }
        if (parent.count == 0) {
            m_mutable_nodes.erase(&parent);
            m_root->children.erase(m_root->children.begin() + static_cast<std::ptrdiff_t>(branch_position));
        }
    }

    // Merges a leaf that is less than a quarter full with the next one if the result is at most three
    // quarters full. Without this, removals would leave many nearly empty leaves.
    void merge_sparse_leaf(branch& parent, std::size_t position)
    {
        if (parent.leaves[position]->count >= prefix_leaf_capacity / 4 || position + 1 >= parent.count ||
            parent.leaves[position]->count + parent.leaves[position + 1]->count >
                prefix_leaf_capacity * 3 / 4) {
            return;
        }
        leaf& node = mutable_leaf(parent, position);
        const leaf& next = *parent.leaves[position + 1];
        for (std::size_t index = 0; index < next.count; ++index) {
            node.insert(node.count, next.at(index));
        }
        m_mutable_nodes.erase(&next);
        parent.erase(position + 1);
    }

    void split_branch(std::size_t position)
    {
        std::shared_ptr<branch> upper = std::make_shared<branch>();
        m_mutable_nodes.insert(upper.get());
        count_copy(sizeof(branch));
        mutable_branch(position).move_upper_half(*upper);
        m_root->children.insert(m_root->children.begin() + static_cast<std::ptrdiff_t>(position) + 1,
                                {upper->first_prefixes[0], upper});
    }

    // Updates the search keys of the leaf in its branch, and of the branch in the root.
    void update_first_prefixes(std::size_t branch_position, std::size_t leaf_position)
    {
        branch& parent = mutable_branch(branch_position);
        parent.first_prefixes[leaf_position] = parent.leaves[leaf_position]->prefix_at(0);
        m_root->children[branch_position].first_prefix = parent.first_prefixes[0];
    }

    std::shared_ptr<root> m_root;
    // Addresses of the nodes that this editor created and may change in place.
    node_set m_mutable_nodes;
    copied_nodes m_cost;
};

} // namespace quetzalspan::steering
