// The state that the request path reads: the compiled configuration, this instance's shares of the fleet-wide
// limits, and its authority to use them.

#pragma once

#include "allowance/share_table.h"
#include "burn/burn_series.h"
#include "membership/authority.h"
#include "steering/selection.h"
#include "steering/snapshot.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace quetzalspan::node
{

// Immutable apart from the tokens and the endpoint states that it refers to. A request keeps the state under
// which it was admitted until the request ends, so that its workspace, service and endpoint indexes stay
// valid.
class published_state
{
public:
    struct dependencies {
        std::shared_ptr<const steering::snapshot> routing;
        const allowance::share_table& shares;
        std::shared_ptr<const membership::authority> authority;
        // Returns the error budget series of a workspace and a service. The workspace is empty for public
        // routes.
        std::function<std::shared_ptr<burn::burn_series>(const std::string&,
                                                         const steering::compiled_service&)>
            burn_series;
        // Returns uniformly distributed 64-bit numbers. Called from several threads.
        std::function<std::uint64_t()> random;
    };

    // Builds a state whose selection hooks take permits and tokens from its shares. Every workspace and
    // endpoint of the configuration must have a share.
    static std::shared_ptr<const published_state> create(dependencies inputs);

    published_state(const published_state&) = delete;
    published_state& operator=(const published_state&) = delete;

    const steering::snapshot& routing() const { return *m_routing; }
    const std::shared_ptr<const steering::snapshot>& shared_routing() const { return m_routing; }
    const membership::authority& authority() const { return *m_authority; }

    const std::shared_ptr<allowance::share>& workspace_share(steering::workspace_index workspace) const
    {
        return m_workspace_shares[workspace];
    }

    allowance::share& slot_share(steering::endpoint_index endpoint) const { return *m_slot_shares[endpoint]; }

    // Return the share of the cap on traffic from one region to another, or null if no cap is configured.
    allowance::share* find_shift_share(steering::region_index from, steering::region_index to) const;
    allowance::share* find_link_share(steering::region_index from, steering::region_index to) const;

    const steering::selection_hooks& selection_hooks() const { return m_selection_hooks; }

    // Public requests of a service have an error budget series of their own, since they belong to no
    // workspace.
    burn::burn_series& workspace_burn(steering::workspace_index workspace,
                                      steering::service_index service) const
    {
        return *m_workspace_burn[workspace * m_routing->services().size() + service];
    }
    burn::burn_series& public_burn(steering::service_index service) const { return *m_public_burn[service]; }

private:
    using share_list = std::vector<std::shared_ptr<allowance::share>>;

    published_state() = default;

    void bind_hooks(std::function<std::uint64_t()> random);
    void add_shares(const allowance::share_table& shares);
    void add_burn_series(const dependencies& inputs);
    std::size_t region_pair_index(steering::region_index from, steering::region_index to) const;

    std::shared_ptr<const steering::snapshot> m_routing;
    // By workspace index; never null.
    share_list m_workspace_shares;
    // By endpoint index; never null.
    share_list m_slot_shares;
    // By pair of regions; null where no cap is configured.
    share_list m_shift_shares;
    share_list m_link_shares;
    std::shared_ptr<const membership::authority> m_authority;
    // By workspace index, then service index.
    std::vector<std::shared_ptr<burn::burn_series>> m_workspace_burn;
    std::vector<std::shared_ptr<burn::burn_series>> m_public_burn;
    steering::selection_hooks m_selection_hooks;
};

} // namespace quetzalspan::node
