// Resolves the shares and burn series of a configuration and binds the endpoint selection hooks to the
// shares.

#include "node/published_state.h"

#include "core/check.h"
#include "node/fleet_limits.h"

namespace quetzalspan::node
{

namespace
{

std::shared_ptr<allowance::share> find_share(const allowance::share_table& shares, const std::string& limit)
{
    const allowance::share_table::entry* entry = shares.find(limit);
    return entry == nullptr ? nullptr : entry->value;
}

std::shared_ptr<allowance::share> find_required_share(const allowance::share_table& shares,
                                                      const std::string& limit)
{
    std::shared_ptr<allowance::share> result = find_share(shares, limit);
    core::check(
        result != nullptr,
        "no share for a configured limit: the limits must be applied before the snapshot is published");
    return result;
}

} // namespace

std::shared_ptr<const published_state> published_state::create(dependencies inputs)
{
    const std::shared_ptr<published_state> result(new published_state());
    result->m_routing = inputs.routing;
    result->m_authority = inputs.authority;
    result->add_shares(inputs.shares);
    result->add_burn_series(inputs);
    result->bind_hooks(std::move(inputs.random));
    return result;
}

void published_state::add_shares(const allowance::share_table& shares)
{
    for (const config::workspace& workspace : m_routing->workspaces()) {
        m_workspace_shares.push_back(find_required_share(shares, workspace_limit_name(workspace.name)));
    }
    for (const steering::compiled_endpoint& endpoint : m_routing->endpoints()) {
        const std::string& service = m_routing->services()[endpoint.service].name;
        m_slot_shares.push_back(find_required_share(shares, slot_limit_name(service, endpoint.id)));
    }
    for (const steering::compiled_region& from : m_routing->regions()) {
        for (const steering::compiled_region& to : m_routing->regions()) {
            m_shift_shares.push_back(find_share(shares, shift_limit_name(from.name, to.name)));
            m_link_shares.push_back(find_share(shares, link_limit_name(from.name, to.name)));
        }
    }
}

void published_state::add_burn_series(const dependencies& inputs)
{
    for (const config::workspace& workspace : m_routing->workspaces()) {
        for (const steering::compiled_service& service : m_routing->services()) {
            m_workspace_burn.push_back(inputs.burn_series(workspace.name, service));
        }
    }
    for (const steering::compiled_service& service : m_routing->services()) {
        m_public_burn.push_back(inputs.burn_series("", service));
    }
}

std::size_t published_state::region_pair_index(steering::region_index from, steering::region_index to) const
{
    return static_cast<std::size_t>(from) * m_routing->regions().size() + to;
}

allowance::share* published_state::find_shift_share(steering::region_index from,
                                                    steering::region_index to) const
{
    return m_shift_shares[region_pair_index(from, to)].get();
}

allowance::share* published_state::find_link_share(steering::region_index from,
                                                   steering::region_index to) const
{
    return m_link_shares[region_pair_index(from, to)].get();
}

void published_state::bind_hooks(std::function<std::uint64_t()> random)
{
    // Each hook captures only one pointer, so that a copy of the std::function needs no allocation.
    m_selection_hooks.is_permit_free = [this](steering::endpoint_index endpoint) {
        return slot_share(endpoint).tokens_micro() >= micro_per_token;
    };
    m_selection_hooks.try_take_permit = [this](steering::endpoint_index endpoint) {
        return slot_share(endpoint).try_acquire(micro_per_token);
    };
    m_selection_hooks.release_permit = [this](steering::endpoint_index endpoint) {
        slot_share(endpoint).release(micro_per_token);
    };
    m_selection_hooks.try_take_shift_token = [this](steering::region_index from, steering::region_index to) {
        allowance::share* share = find_shift_share(from, to);
        if (share == nullptr) {
            return true;
        }
        share->record_offered_load(micro_per_token);
        return share->try_acquire(micro_per_token);
    };
    m_selection_hooks.return_shift_token = [](steering::region_index, steering::region_index) {
        // A token of a rate limit is not returned: the bucket may have refilled meanwhile, and the returned
        // token would let a later burst exceed the cap. The cap is therefore slightly under-used.
    };
    m_selection_hooks.try_take_link_bytes = [this](steering::region_index from, steering::region_index to,
                                                   std::uint64_t bytes) {
        allowance::share* share = find_link_share(from, to);
        if (share == nullptr) {
            return true;
        }
        const std::int64_t micro = static_cast<std::int64_t>(bytes) * micro_per_token;
        share->record_offered_load(micro);
        return share->try_acquire(micro);
    };
    m_selection_hooks.random = std::move(random);
}

} // namespace quetzalspan::node
