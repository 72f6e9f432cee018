// Routes, authenticates and admits requests, answers lookups, and records how requests ended in metrics,
// error budgets and the log.

#include "node/request_policy.h"

#include "core/log_event.h"
#include "http/message.h"
#include "node/fleet_limits.h"
#include "steering/lookup.h"

#include <json/json.h>

#include <algorithm>
#include <array>

namespace quetzalspan::node
{

namespace asio = boost::asio;
using caller::admission;
using caller::rejection;
using dispatch::failure;

namespace
{

constexpr std::size_t failure_count = static_cast<std::size_t>(failure::internal_error) + 1;

const published_state& get_published_state(const admission& admitted)
{
    return *static_cast<const published_state*>(admitted.hook_data.get());
}

std::string_view strip_query(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

http::response make_lookup_error(const char* message)
{
    http::response answer;
    answer.status = 400;
    answer.content_type = "text/plain";
    answer.body = std::string(message) + "\n";
    return answer;
}

Json::Value to_json(const steering::directory_entry& entry)
{
    Json::Value value;
    value["instance"] = entry.id;
    value["region"] = entry.region;
    value["host"] = entry.host;
    value["port"] = entry.port;
    return value;
}

// Rejections that the workspace did not cause. They count against the objective of the service.
constexpr std::array service_side_rejections{
    failure::no_authority, failure::no_permit, failure::queue_full,       failure::deadline_unreachable,
    failure::shift_capped, failure::stopping,  failure::claim_unavailable};

// Failures after an attempt at an endpoint. They count as failed requests of the service.
constexpr std::array service_failures{
    failure::connect_failed,   failure::nothing_written,    failure::upstream_shed,  failure::response_lost,
    failure::response_timeout, failure::malformed_response, failure::body_truncated, failure::internal_error};

template <std::size_t Size>
bool contains(const std::array<failure, Size>& list, failure value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

} // namespace

request_policy::request_policy(request_policy_options options, const state_cell& state,
                               const directory_cell& directory, token_wait_queues& tokens,
                               endpoint_allocator& endpoints, burn::metrics_registry& metrics)
    : m_options(options),
      m_state(state),
      m_directory(directory),
      m_tokens(tokens),
      m_endpoints(endpoints),
      m_relayed(
          metrics.get_counter("requests_total", "Requests by how they ended.", {{"reason", "relayed"}})),
      m_lookups(metrics.get_counter("lookups_total", "Lookups answered.")),
      m_malformed(metrics.get_counter("malformed_messages_total", "Messages that are no acceptable HTTP.")),
      m_borrow_waits(metrics.get_counter("borrow_waits_total", "Requests that waited for borrowed tokens.")),
      m_latency(metrics.get_summary("request_seconds", "Time from the header of a request to its end."))
{
    for (std::size_t index = 0; index < failure_count; ++index) {
        const std::string reason(dispatch::outcome_rule_for(static_cast<failure>(index)).reason);
        m_failures.push_back(
            &metrics.get_counter("requests_total", "Requests by how they ended.", {{"reason", reason}}));
    }
}

caller::proxy_hooks request_policy::hooks(idempotency_claims* claims)
{
    caller::proxy_hooks result;
    result.route_request = [this](const caller::request_summary& request, core::instant now) {
        return route_request(request, now);
    };
    result.enforce_rate_limit = [this](const admission& admitted, caller::wait_context& context) {
        return enforce_rate_limit(admitted, context);
    };
    result.acquire_endpoint = [this](const caller::request_summary& request, const admission& admitted,
                                     const std::vector<std::string>& tried, caller::wait_context& context) {
        return m_endpoints.acquire(request, admitted, tried, context);
    };
    result.recheck_authorization = [this](const caller::request_summary& request, const admission& admitted,
                                          core::instant now) {
        return recheck_authorization(request, admitted, now);
    };
    if (claims != nullptr) {
        result.create_claim = [claims](const caller::request_summary& request, const admission& admitted,
                                       caller::wait_context& context) {
            return claims->claim(request, admitted, context);
        };
        result.settle_claim = [claims](const caller::request_summary& request, const admission& admitted,
                                       dispatch::outcome outcome, unsigned status) {
            return claims->settle(request, admitted, outcome, status);
        };
    }
    result.on_finished = [this](const caller::request_record& record) { finish(record); };
    result.on_message_rejected = [this](failure, std::string_view) { m_malformed.add(); };
    result.serve_lookup = [this](const caller::request_summary& request, core::instant now) {
        return serve_lookup(request, now);
    };
    return result;
}

std::shared_ptr<const published_state> request_policy::current_state() const
{
    const core::rcu_read_section section;
    return m_state.read(section);
}

caller::admission_result request_policy::route_request(const caller::request_summary& request,
                                                       core::instant now) const
{
    std::shared_ptr<const published_state> state = current_state();
    if (!state) {
        return rejection{failure::no_authority};
    }
    const steering::compiled_route* route = state->routing().find_route(strip_query(request.target));
    if (route == nullptr) {
        return rejection{failure::no_route};
    }
    admission result;
    result.service = state->routing().services()[route->service].name;
    result.service_index = route->service;
    result.configuration_revision = state->routing().revision();
    result.is_public = route->is_public;
    if (!route->is_public) {
        const std::optional<failure> fault = check_key(request, *state, now, result);
        if (fault) {
            return rejection{*fault};
        }
    }
    if (m_options.requires_idempotency_key && !request.is_idempotent && request.idempotency_key.empty()) {
        return rejection{failure::malformed_idempotency_key};
    }
    result.hook_data = std::const_pointer_cast<published_state>(std::move(state));
    return result;
}

std::optional<failure> request_policy::check_key(const caller::request_summary& request,
                                                 const published_state& state, core::instant now,
                                                 admission& result) const
{
    if (request.key_fault) {
        return *request.key_fault;
    }
    const steering::key_lookup_result key = state.routing().find_key(request.key_digest);
    if (key.status == steering::key_status::unknown) {
        return failure::key_unknown;
    }
    if (key.status == steering::key_status::revoked) {
        return failure::key_revoked;
    }
    if (!state.authority().has_authority(now)) {
        return failure::no_authority;
    }
    result.workspace_index = *key.workspace;
    result.workspace = state.routing().workspaces()[*key.workspace].name;
    return std::nullopt;
}

asio::awaitable<std::optional<rejection>> request_policy::enforce_rate_limit(const admission& admitted,
                                                                             caller::wait_context& context)
{
    if (admitted.is_public) {
        co_return std::nullopt;
    }
    const std::shared_ptr<allowance::share>& share =
        get_published_state(admitted).workspace_share(admitted.workspace_index);
    share->record_offered_load(micro_per_token);
    if (share->try_acquire(micro_per_token)) {
        co_return std::nullopt;
    }
    m_borrow_waits.add();
    const core::instant wait_deadline = std::min(
        core::instant(std::chrono::steady_clock::now()) + m_options.max_borrow_wait, context.deadline);
    if (co_await m_tokens.wait(workspace_limit_name(admitted.workspace), share, micro_per_token,
                               wait_deadline, context)) {
        co_return std::nullopt;
    }
    co_return rejection{failure::rate_limited, std::chrono::seconds(1)};
}

std::optional<rejection> request_policy::recheck_authorization(const caller::request_summary& request,
                                                               const admission& admitted,
                                                               core::instant now) const
{
    if (admitted.is_public) {
        return std::nullopt;
    }
    // The request used tokens of the state under which it was admitted, so the authority of that state
    // counts. The key is checked against the newest configuration.
    if (!get_published_state(admitted).authority().has_authority(now)) {
        return rejection{failure::no_authority};
    }
    const core::rcu_read_section section;
    const std::shared_ptr<const published_state>& newest = m_state.read(section);
    const steering::key_lookup_result key = newest->routing().find_key(request.key_digest);
    if (key.status == steering::key_status::unknown) {
        return rejection{failure::key_unknown};
    }
    if (key.status == steering::key_status::revoked) {
        return rejection{failure::key_revoked};
    }
    const std::string& workspace = newest->routing().workspaces()[*key.workspace].name;
    if (workspace != admitted.workspace) {
        // The key was reassigned to another workspace meanwhile; the request must not run for either
        // workspace.
        return rejection{failure::key_revoked};
    }
    return std::nullopt;
}

void request_policy::finish(const caller::request_record& record)
{
    if (record.is_lookup) {
        m_lookups.add();
        return;
    }
    if (record.failure) {
        m_failures[static_cast<std::size_t>(*record.failure)]->add();
    } else {
        m_relayed.add();
    }
    m_latency.record(record.total_time);
    record_burn(record);
    write_log(record);
}

void request_policy::record_burn(const caller::request_record& record) const
{
    if (!record.request_admission.hook_data) {
        return;
    }
    const published_state& state = get_published_state(record.request_admission);
    const steering::service_index service = record.request_admission.service_index;
    burn::burn_series& series = record.request_admission.is_public
                                    ? state.public_burn(service)
                                    : state.workspace_burn(record.request_admission.workspace_index, service);
    if (!record.failure) {
        constexpr unsigned first_server_error = 500;
        series.record(record.status >= first_server_error ? burn::request_result::failed
                                                          : burn::request_result::succeeded,
                      record.total_time);
    } else if (contains(service_side_rejections, *record.failure)) {
        series.record(burn::request_result::rejected_wrongfully, record.total_time);
    } else if (contains(service_failures, *record.failure)) {
        series.record(burn::request_result::failed, record.total_time);
    }
}

void request_policy::write_log(const caller::request_record& record) const
{
    core::debug_event event("request");
    event.with("request_id", record.summary.request_id)
        .with("method", record.summary.method)
        .with("workspace", record.request_admission.workspace)
        .with("service", record.request_admission.service)
        .with("endpoint", record.endpoint)
        .with("status", record.status)
        .with("outcome", dispatch::outcome_names.name(record.outcome))
        .with("attempts", record.attempts)
        .with("total_us", std::chrono::duration_cast<std::chrono::microseconds>(record.total_time).count());
    if (record.failure) {
        event.with("reason", dispatch::outcome_rule_for(*record.failure).reason);
    }
}

http::response request_policy::serve_lookup(const caller::request_summary& request, core::instant) const
{
    const std::shared_ptr<const published_state> state = current_state();
    const http::target target = http::target::create(request.target);
    const std::optional<std::string> service_name = target.find_parameter("service");
    if (!service_name) {
        return make_lookup_error("the parameter service is missing");
    }
    const std::string client_text =
        target.find_parameter("client").value_or(std::string(request.peer_address));
    boost::system::error_code error;
    const asio::ip::address client = asio::ip::make_address(client_text, error);
    if (error) {
        return make_lookup_error("the parameter client is not a numeric address");
    }
    if (!state) {
        http::response answer = make_lookup_error("no configuration yet");
        answer.status = 503;
        return answer;
    }
    const std::optional<steering::service_index> service = state->routing().find_service(*service_name);
    if (!service) {
        http::response answer = make_lookup_error("the service is not configured");
        answer.status = 404;
        return answer;
    }
    Json::Value body;
    body["ttl_ms"] = Json::Int64(m_options.lookup_ttl.count());
    body["revision"] = Json::UInt64(state->routing().revision());
    body["entries"] = Json::Value(Json::arrayValue);
    {
        const core::rcu_read_section section;
        const steering::entry_directory& directory = m_directory.read(section);
        const steering::lookup_answer answer =
            steering::look_up(state->routing(), directory, *service, client);
        for (const steering::directory_entry* entry : answer.entries()) {
            body["entries"].append(to_json(*entry));
        }
        if (answer.site) {
            body["site"] = state->routing().sites()[*answer.site].name;
        }
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    http::response answer;
    answer.body = Json::writeString(builder, body);
    answer.headers.push_back(
        {"Cache-Control", "max-age=" + std::to_string(m_options.lookup_ttl.count() / 1000)});
    return answer;
}

} // namespace quetzalspan::node
