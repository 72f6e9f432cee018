// Decides on each request: route, API key, authority, rate of the workspace, region, endpoint and permit. The
// decisions are bound as the hooks of the proxy server.

#pragma once

#include "burn/metrics_registry.h"
#include "caller/proxy_hooks.h"
#include "core/rcu_cell.h"
#include "node/endpoint_allocator.h"
#include "node/idempotency_claims.h"
#include "node/published_state.h"
#include "node/token_wait_queues.h"
#include "steering/entry_directory.h"

#include <chrono>
#include <memory>
#include <vector>

namespace quetzalspan::node
{

using state_cell = core::rcu_cell<std::shared_ptr<const published_state>>;
using directory_cell = core::rcu_cell<steering::entry_directory>;

struct request_policy_options {
    // How long a request without tokens may wait for tokens borrowed from peers.
    core::duration max_borrow_wait = std::chrono::milliseconds(50);
    std::chrono::milliseconds lookup_ttl{5000};
    // Whether requests with methods that are not idempotent need an Idempotency-Key.
    bool requires_idempotency_key = false;
};

// The admission policy of an instance. Called from all request threads.
class request_policy
{
public:
    request_policy(request_policy_options options, const state_cell& state, const directory_cell& directory,
                   token_wait_queues& tokens, endpoint_allocator& endpoints, burn::metrics_registry& metrics);

    request_policy(const request_policy&) = delete;
    request_policy& operator=(const request_policy&) = delete;

    // Returns the hooks of the proxy server. The policy and the claims must outlive them. If claims is null,
    // an Idempotency-Key is only passed on to the endpoint.
    caller::proxy_hooks hooks(idempotency_claims* claims);

private:
    caller::admission_result route_request(const caller::request_summary& request, core::instant now) const;
    std::optional<dispatch::failure> check_key(const caller::request_summary& request,
                                               const published_state& state, core::instant now,
                                               caller::admission& result) const;
    boost::asio::awaitable<std::optional<caller::rejection>>
    enforce_rate_limit(const caller::admission& admitted, caller::wait_context& context);
    std::optional<caller::rejection> recheck_authorization(const caller::request_summary& request,
                                                           const caller::admission& admitted,
                                                           core::instant now) const;
    void finish(const caller::request_record& record);
    void record_burn(const caller::request_record& record) const;
    void write_log(const caller::request_record& record) const;
    http::response serve_lookup(const caller::request_summary& request, core::instant now) const;
    std::shared_ptr<const published_state> current_state() const;

    request_policy_options m_options;
    const state_cell& m_state;
    const directory_cell& m_directory;
    token_wait_queues& m_tokens;
    endpoint_allocator& m_endpoints;
    burn::counter& m_relayed;
    burn::counter& m_lookups;
    burn::counter& m_malformed;
    burn::counter& m_borrow_waits;
    burn::summary& m_latency;
    // By failure. Resolved at construction, so that the request path does not search the registry.
    std::vector<burn::counter*> m_failures;
};

} // namespace quetzalspan::node
