// Lookup of the entry instances that a client should use for a service.

#pragma once

#include "steering/entry_directory.h"
#include "steering/snapshot.h"

#include <boost/asio/ip/address.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>
#include <span>

namespace quetzalspan::steering
{

// How long a caller may cache an answer.
inline constexpr std::chrono::seconds lookup_time_to_live{5};

// Entries in order of preference. The pointers refer to entries of the directory and are valid as long as it
// exists.
struct lookup_answer {
    static constexpr std::size_t capacity = 8;

    std::array<const directory_entry*, capacity> ranked_entries{};
    std::size_t count = 0;
    // Site of the client, if a client block contains the client's address.
    std::optional<site_index> site;

    std::span<const directory_entry* const> entries() const { return {ranked_entries.data(), count}; }
};

// Returns the entry instances for a client in order of preference.
//
// The regions that the client's site prefers come first, in the site's order, then the region of this
// instance, then the other regions by name. Regions without endpoints of the service come after those with
// endpoints. Drained regions are listed only if the answer would be empty otherwise. An answer lists several
// regions, so that a caller whose region fails has an alternative before the answer expires.
//
// Within a region, the instances are ranked by weighted rendezvous hashing of the client's network. The
// network is the client block if it is smaller than a /24 (IPv4) or /48 (IPv6), otherwise the /24 or /48
// that contains the client. This spreads the callers of a site over all instances, and when an instance goes
// away, only its callers move, each to its own second choice.
//
// Answers are advisory. A caller can use an answer for its time to live after an instance began to leave or a
// region was drained. A leaving instance serves requests during that time, and a caller skips a dead instance
// and tries the next entry. The instance that receives a request enforces drains, caps and permits according
// to its own snapshot.
//
// The answer is empty only if the directory is empty. Takes no lock and allocates nothing.
lookup_answer look_up(const snapshot& current, const entry_directory& directory, service_index service,
                      const boost::asio::ip::address& client);

} // namespace quetzalspan::steering
