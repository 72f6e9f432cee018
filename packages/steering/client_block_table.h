// The table of client blocks: maps a client address to a site by longest-prefix match.

#pragma once

#include "steering/address_prefix.h"
#include "steering/prefix_tree.h"
#include "steering/prefix_tree_editor.h"
#include "steering/snapshot_indexes.h"

#include <optional>
#include <span>
#include <vector>

namespace quetzalspan::steering
{

struct client_block_entry {
    address_prefix prefix;
    site_index site = no_site;

    friend bool operator==(const client_block_entry&, const client_block_entry&) = default;
};

// Sets the site of a prefix; no_site removes the prefix.
using client_block_change = client_block_entry;

// Immutable. Copies and changed versions share their unchanged tree nodes, so a version can be replaced while
// the previous one is being read.
class client_block_table
{
public:
    // with_entries() builds a new table without sharing if the number of changes exceeds this fraction of the
    // new list.
    static constexpr double rebuild_threshold_fraction = 0.25;

    // Builds a table from entries in any order. Of several entries with the same prefix, the one with the
    // highest site index is kept.
    static client_block_table create(std::vector<client_block_entry> entries);

    // Returns this table with the changes applied in order. Adds the nodes and bytes that were copied to
    // `cost` unless it is null.
    client_block_table with_changes(std::span<const client_block_change> changes,
                                    copied_nodes* cost = nullptr) const;

    // Returns a table of exactly these entries. It shares the unchanged nodes with this table unless the
    // changes exceed the rebuild threshold.
    client_block_table with_entries(std::vector<client_block_entry> entries) const;

    // Returns the changes that turn this table into a table of exactly these entries.
    std::vector<client_block_change> compute_changes_to(std::vector<client_block_entry> entries) const;

    // Returns the longest block that contains the address and its site, or nothing if no block contains it.
    // Takes no lock and allocates nothing.
    std::optional<client_block_entry> find(const boost::asio::ip::address& address) const;

    std::size_t size() const { return m_v4.size() + m_v6.size(); }

    // Returns the total size in bytes of the nodes that are not in `seen`, and adds these nodes to it. Calls
    // for two versions with the same set sum up to the memory that both use together.
    std::size_t count_bytes(node_set& seen) const;

private:
    // Sorts by family, address and length, and removes entries with a repeated prefix.
    static void sort_and_merge(std::vector<client_block_entry>& entries);
    static client_block_table build(const std::vector<client_block_entry>& sorted_entries);
    std::vector<client_block_change> collect_changes(const std::vector<client_block_entry>& sorted_entries,
                                                     std::size_t expected_count) const;
    // Calls visit(change) for each change that turns this table into a table of the sorted entries.
    template <typename Visit>
    void visit_changes(const std::vector<client_block_entry>& sorted_entries, Visit visit) const;

    prefix_tree<ipv4_key> m_v4;
    prefix_tree<ipv6_key> m_v6;
};

} // namespace quetzalspan::steering
