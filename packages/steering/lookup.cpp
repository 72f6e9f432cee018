// Ranks the entry instances for a client: orders the regions, and the instances of each region by weighted
// rendezvous hashing.

#include "steering/lookup.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::steering
{

namespace
{

// Maximum number of entries of one region in an answer. It leaves room for entries of at least three regions.
constexpr std::size_t max_entries_per_region = 3;
// Prefix lengths in bits of the client networks. All clients of one network get the same ranking.
constexpr std::uint8_t v4_network_length = 24;
constexpr std::uint8_t v6_network_length = 48;

std::uint64_t hash_client_network(const boost::asio::ip::address& client,
                                  const std::optional<client_block_entry>& block)
{
    address_prefix network = address_prefix::containing(client, v4_network_length);
    if (network.is_v6) {
        network = address_prefix::containing(client, v6_network_length);
    }
    if (block && block->prefix.length > network.length) {
        network = block->prefix;
    }
    const std::string_view bytes(reinterpret_cast<const char*>(network.bytes.data()), network.bytes.size());
    return core::stable_hash(bytes, network.length);
}

// Returns the score of an entry for a client network; the lowest score ranks first. An entry has the lowest
// score with a probability proportional to its weight. The logarithm is left out for equal weights, since it
// would not change the order.
double rendezvous_score(std::uint64_t network_hash, const directory_entry& entry, bool is_unweighted)
{
    // The finalizer of SplitMix64 mixes the bits: a plain combination of the two hashes would rank the
    // entries in the same order for many networks.
    std::uint64_t bits = network_hash ^ entry.instance_hash;
    bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebULL;
    bits ^= bits >> 31U;
    constexpr double scale = 1.0 / static_cast<double>(std::uint64_t{1} << 53U);
    const double uniform = (static_cast<double>(bits >> 11U) + 0.5) * scale;
    return is_unweighted ? 1 - uniform : -std::log(uniform) / entry.weight;
}

// Builds the answer to one lookup.
class instance_ranker
{
public:
    instance_ranker(const snapshot& current, const entry_directory& directory, service_index service,
                    const boost::asio::ip::address& client)
        : m_snapshot(current), m_directory(directory), m_service(service)
    {
        const std::optional<client_block_entry> block = current.client_blocks().find(client);
        m_network_hash = hash_client_network(client, block);
        if (block) {
            m_answer.site = block->site;
            m_preferred_regions = current.sites()[block->site].regions;
        }
    }

    lookup_answer rank()
    {
        // Each pass adds the regions of one group, so that the groups follow each other in the answer.
        for (const region_group group :
             {region_group::with_endpoints, region_group::without_endpoints, region_group::drained}) {
            // Drained regions are listed only if no other region has an entry.
            if (group != region_group::drained || m_answer.count == 0) {
                add_regions_in_group(group);
            }
        }
        return m_answer;
    }

private:
    enum class region_group { with_endpoints, without_endpoints, drained };

    region_group classify_region(region_index region) const
    {
        if (m_snapshot.regions()[region].is_drained) {
            return region_group::drained;
        }
        const bool has_endpoints = m_snapshot.services()[m_service].endpoint_ranges[region].size() > 0;
        return has_endpoints ? region_group::with_endpoints : region_group::without_endpoints;
    }

    void add_regions_in_group(region_group group)
    {
        for (const region_index region : m_preferred_regions) {
            if (classify_region(region) == group) {
                add_region(region);
            }
        }
        const region_index own_region = m_snapshot.own_region();
        if (!is_preferred(own_region) && classify_region(own_region) == group) {
            add_region(own_region);
        }
        for (region_index region = 0; region < m_snapshot.regions().size(); ++region) {
            if (region != own_region && !is_preferred(region) && classify_region(region) == group) {
                add_region(region);
            }
        }
    }

    bool is_preferred(region_index region) const
    {
        return std::find(m_preferred_regions.begin(), m_preferred_regions.end(), region) !=
               m_preferred_regions.end();
    }

    // Adds the entries of a region with the lowest scores, lowest first, up to the maximum for one region.
    void add_region(region_index region)
    {
        if (m_answer.count == lookup_answer::capacity) {
            return;
        }
        const entry_directory::range range =
            m_directory.find_region_entries(m_snapshot.regions()[region].name);
        std::array<std::pair<double, const directory_entry*>, max_entries_per_region> best{};
        std::size_t count = 0;
        for (std::size_t position = range.begin; position < range.end; ++position) {
            const directory_entry& entry = m_directory.entries()[position];
            const double score = rendezvous_score(m_network_hash, entry, m_directory.is_unweighted());
            std::size_t slot = count;
            while (slot > 0 && score < best[slot - 1].first) {
                --slot;
            }
            if (slot == best.size()) {
                continue;
            }
            count = std::min(count + 1, best.size());
            std::move_backward(best.begin() + static_cast<std::ptrdiff_t>(slot),
                               best.begin() + static_cast<std::ptrdiff_t>(count) - 1,
                               best.begin() + static_cast<std::ptrdiff_t>(count));
            best[slot] = {score, &entry};
        }
        for (std::size_t slot = 0; slot < count && m_answer.count < lookup_answer::capacity; ++slot) {
            m_answer.ranked_entries[m_answer.count] = best[slot].second;
            ++m_answer.count;
        }
    }

    const snapshot& m_snapshot;
    const entry_directory& m_directory;
    service_index m_service;
    std::uint64_t m_network_hash = 0;
    std::span<const region_index> m_preferred_regions;
    lookup_answer m_answer;
};

} // namespace

lookup_answer look_up(const snapshot& current, const entry_directory& directory, service_index service,
                      const boost::asio::ip::address& client)
{
    lookup_answer answer = instance_ranker(current, directory, service, client).rank();
    // Members can belong to a region that this snapshot does not contain yet. If there are no other entries,
    // the first one is returned, since an empty answer would leave the caller without service.
    for (std::size_t position = 0; answer.count == 0 && position < directory.entries().size(); ++position) {
        answer.ranked_entries[0] = &directory.entries()[position];
        answer.count = 1;
    }
    return answer;
}

} // namespace quetzalspan::steering
