// The stages of a request: checks, admission, reading the body, attempts with retries, and generated
// responses.

#include "caller/request_exchange.h"

#include "caller/generated_response.h"
#include "core/log_event.h"
#include "core/stable_hash.h"
#include "dispatch/header_rules.h"

namespace quetzalspan::caller
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using dispatch::failure;
using dispatch::outcome;

namespace
{

// Limits the work for one request. The store does not need the limit, since it keeps only a digest of the
// key.
constexpr std::size_t idempotency_key_limit_bytes = 256;

// A host without the process refuses a connection within a round trip, so a longer wait tells nothing.
constexpr core::duration end_check_timeout = std::chrono::milliseconds(200);

core::instant current_time()
{
    return std::chrono::steady_clock::now();
}

// Returns whether the endpoint itself reported that it did not run the request.
bool is_reported_not_run(failure at)
{
    return at == failure::upstream_shed || at == failure::misdirected_request;
}

std::string_view to_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

asio::const_buffer to_buffer(std::string_view text)
{
    return {text.data(), text.size()};
}

// Returns whether the endpoint broke the connection off before its response was complete.
bool is_broken_off(failure at)
{
    return at == failure::response_lost || at == failure::response_incomplete ||
           at == failure::body_truncated;
}

// Logs truncate longer identifiers, so that two of them could look the same.
constexpr std::size_t request_id_limit_bytes = 128;

std::string make_request_id(proxy_context& context, const beast::http::request_header<>& header)
{
    const dispatch::message_profile& profile = context.options.profile;
    if (profile.keeps_request_id) {
        const std::string_view id = to_view(header[profile.request_id_field]);
        if (!id.empty() && id.size() <= request_id_limit_bytes) {
            return std::string(id);
        }
    }
    return context.request_id_prefix +
           std::to_string(context.next_request_number.fetch_add(1, std::memory_order_relaxed));
}

} // namespace

request_exchange::request_exchange(proxy_context& context, caller_stream& stream,
                                   const asio::any_io_executor& strand, exchange_memory& memory)
    : m_context(context),
      m_stream(stream),
      m_strand(strand),
      m_memory(memory),
      m_key(dispatch::workspace_key::create(stream.parser().get(), context.options.profile)),
      m_request_id(make_request_id(context, stream.parser().get())),
      m_allowed_time(dispatch::parse_deadline(stream.parser().get(), context.options.default_deadline,
                                              context.options.deadline_limit, context.options.profile)),
      m_body(stream, context.options, strand, dispatch::expects_continue(stream.parser().get()),
             current_time() + m_allowed_time.value_or(context.options.default_deadline))
{
    m_is_keep_alive = stream.parser().keep_alive();
    m_header = std::move(stream.parser().get().base());
    m_http_version = m_header.version();
    fill_summary();
}

void request_exchange::fill_summary()
{
    m_summary.method = to_view(m_header.method_string());
    m_summary.target = to_view(m_header.target());
    m_summary.key_digest = m_key.digest();
    m_summary.key_fault = m_key.fault();
    const dispatch::message_profile& profile = m_context.options.profile;
    if (!profile.idempotency_key_field.empty()) {
        m_summary.idempotency_key = to_view(m_header[profile.idempotency_key_field]);
    }
    if (!profile.affinity_cookie.empty()) {
        m_affinity_key = dispatch::find_cookie(m_header, profile.affinity_cookie);
        m_summary.affinity_key = m_affinity_key;
    }
    m_host = to_view(m_header[beast::http::field::host]);
    m_summary.host = m_host;
    m_summary.request_id = m_request_id;
    m_summary.peer_address = m_stream.peer_address();
    m_summary.is_idempotent = dispatch::is_idempotent_method(m_summary.method);
    m_summary.received_at = current_time();
    m_summary.deadline = m_summary.received_at + m_allowed_time.value_or(m_context.options.default_deadline);
    m_wait.deadline = m_summary.deadline;
    m_is_head = m_summary.method == "HEAD";
}

std::optional<rejection> request_exchange::check_request()
{
    std::optional<failure> fault = dispatch::check_method_and_upgrade(m_summary.method, m_header);
    if (!fault) {
        fault = dispatch::check_target(m_summary.target);
    }
    if (!fault && !m_allowed_time) {
        fault = failure::malformed_deadline;
    }
    const std::string& key_field = m_context.options.profile.idempotency_key_field;
    const std::size_t count = key_field.empty() ? 0 : m_header.count(key_field);
    const bool is_valid = count == 1 && !m_summary.idempotency_key.empty() &&
                          m_summary.idempotency_key.size() <= idempotency_key_limit_bytes;
    if (!fault && count > 0 && !is_valid) {
        fault = failure::malformed_idempotency_key;
    }
    if (!fault) {
        return std::nullopt;
    }
    report_malformed_message(m_context, *fault, m_summary.peer_address);
    return rejection{*fault};
}

bool request_exchange::is_lookup() const
{
    const std::string_view path = m_summary.target.substr(0, m_summary.target.find('?'));
    return m_context.hooks.serve_lookup && path == m_context.options.lookup_path;
}

void request_exchange::handle_disconnect()
{
    m_has_disconnected = true;
    m_wait.is_cancelled = true;
    if (const std::function<void()> action = std::exchange(m_wait.on_cancel, nullptr)) {
        action();
    }
    if (m_current_exchange) {
        m_current_exchange->cancel();
    }
}

bool request_exchange::note_caller_closed()
{
    m_has_disconnected = m_has_disconnected || m_stream.has_caller_closed();
    return m_has_disconnected;
}

asio::awaitable<bool> request_exchange::run()
{
    std::optional<rejection> cause;
    std::string error_text;
    try {
        cause = check_request();
        if (!cause && is_lookup()) {
            co_await send_lookup_response();
            co_return m_is_keep_alive;
        }
        if (!cause) {
            cause = co_await serve();
        }
    } catch (const std::exception& error) {
        error_text = error.what();
    }
    if (!error_text.empty()) {
        core::error_event("request_failed").with("request_id", m_request_id).with("error", error_text);
        cause = rejection{failure::internal_error};
    }
    co_await finish(cause);
    co_return m_is_keep_alive;
}

asio::awaitable<std::optional<rejection>> request_exchange::serve()
{
    if (note_caller_closed()) {
        co_return rejection{failure::caller_disconnected};
    }
    m_context.budget.record_request();
    std::optional<rejection> cause = route_request(m_summary.received_at);
    if (!cause) {
        cause = co_await enforce_rate_limit();
    }
    if (!cause) {
        cause = co_await read_body();
    }
    if (!cause) {
        cause = co_await create_claim();
    }
    if (!cause) {
        cause = co_await forward();
    }
    co_return cause;
}

std::optional<rejection> request_exchange::route_request(core::instant now)
{
    admission_result result = m_context.hooks.route_request(m_summary, now);
    if (const rejection* rejected = std::get_if<rejection>(&result)) {
        return *rejected;
    }
    m_admission = std::move(std::get<admission>(result));
    m_summary.is_idempotent = m_admission.is_repeatable.value_or(m_summary.is_idempotent);
    if (m_admission.time_limit > core::duration(0)) {
        m_summary.deadline = std::min(m_summary.deadline, m_summary.received_at + m_admission.time_limit);
        m_wait.deadline = m_summary.deadline;
    }
    return std::nullopt;
}

asio::awaitable<std::optional<rejection>> request_exchange::enforce_rate_limit()
{
    if (!m_context.hooks.enforce_rate_limit) {
        co_return std::nullopt;
    }
    m_stream.watch_disconnect([this] { handle_disconnect(); });
    std::optional<rejection> cause = co_await m_context.hooks.enforce_rate_limit(m_admission, m_wait);
    m_wait.on_cancel = nullptr;
    m_wait_time += current_time() - m_summary.received_at;
    if (m_has_disconnected) {
        cause = rejection{failure::caller_disconnected};
    }
    co_return cause;
}

asio::awaitable<std::optional<rejection>> request_exchange::read_body()
{
    m_stream.stop_watching_disconnect();
    const std::optional<failure> failed = co_await m_body.read_prefix();
    if (failed) {
        if (*failed != failure::caller_disconnected) {
            report_malformed_message(m_context, *failed, m_summary.peer_address);
        }
        co_return rejection{*failed};
    }
    m_summary.fingerprint = compute_fingerprint();
    if (m_body.is_complete()) {
        m_stream.watch_disconnect([this] { handle_disconnect(); });
    }
    co_return std::nullopt;
}

std::uint64_t request_exchange::compute_fingerprint() const
{
    std::uint64_t result = core::stable_hash(m_summary.host);
    result = core::stable_hash(m_summary.method, result);
    result = core::stable_hash(m_summary.target, result);
    result = core::stable_hash(m_body.prefix(), result);
    return core::mix_hash(result + m_body.announced_length().value_or(m_body.size()));
}

asio::awaitable<std::optional<rejection>> request_exchange::create_claim()
{
    if (m_summary.idempotency_key.empty() || m_summary.is_idempotent || !m_context.hooks.create_claim) {
        co_return std::nullopt;
    }
    const std::optional<rejection> cause =
        co_await m_context.hooks.create_claim(m_summary, m_admission, m_wait);
    m_wait.on_cancel = nullptr;
    m_has_claim = !cause;
    co_return cause;
}

asio::awaitable<std::optional<rejection>> request_exchange::forward()
{
    std::optional<rejection> cause;
    while (true) {
        if (m_has_disconnected) {
            co_return rejection{failure::caller_disconnected};
        }
        const core::instant start = current_time();
        lease_result acquired =
            co_await m_context.hooks.acquire_endpoint(m_summary, m_admission, m_tried_endpoints, m_wait);
        m_wait.on_cancel = nullptr;
        m_wait_time += current_time() - start;
        if (const rejection* rejected = std::get_if<rejection>(&acquired)) {
            // If an earlier attempt may have run the request, its failure is reported.
            co_return cause&& m_may_have_run ? *cause : *rejected;
        }
        endpoint_lease& lease = std::get<endpoint_lease>(acquired);
        ++m_attempts;
        m_tried_endpoints.push_back(lease.identity());
        const bool may_have_run_before = m_may_have_run;
        attempt_result result;
        std::optional<rejection> failed;
        const core::instant lease_start = current_time();
        if (m_has_disconnected) {
            failed = rejection{failure::caller_disconnected};
        } else {
            failed = co_await send_attempt(lease, result);
        }
        result.total_time = current_time() - lease_start;
        result.failure = failed ? std::optional<failure>(failed->failure) : std::nullopt;
        lease.release(result);
        if (m_context.hooks.on_attempt_finished) {
            result.has_endpoint_ended =
                failed && is_broken_off(failed->failure) && co_await has_endpoint_ended(lease);
            m_context.hooks.on_attempt_finished(m_summary, lease.identity(), result);
        }
        if (!failed) {
            co_return std::nullopt;
        }
        if (!cause || !may_have_run_before) {
            cause = failed;
        }
        if (m_has_disconnected || m_has_response_started ||
            !(m_is_retry_granted || try_grant_retry(failed->failure))) {
            co_return cause;
        }
        m_is_retry_granted = false;
    }
}

bool request_exchange::try_grant_retry(dispatch::failure at)
{
    const dispatch::attempt_state state{m_attempts, m_summary.is_idempotent, m_body.is_replayable(),
                                        m_summary.deadline, m_sent_attempts};
    if (m_context.hooks.grant_retry) {
        return m_context.hooks.grant_retry(m_summary, m_admission, state, at, current_time());
    }
    return dispatch::decide_retry(m_context.options.retry, state, at, current_time(), m_context.budget);
}

rejection request_exchange::failure_for(upstream::forward_failure at) const
{
    if (m_body.fault()) {
        return rejection{*m_body.fault()};
    }
    return rejection{m_has_disconnected ? failure::caller_disconnected : upstream::to_dispatch_failure(at)};
}

asio::awaitable<std::optional<rejection>> request_exchange::send_attempt(const endpoint_lease& lease,
                                                                         attempt_result& result)
{
    upstream::forwarder exchange(*m_context.pool, m_memory.upstream_deadline);
    m_current_exchange = &exchange;
    std::optional<rejection> failed;
    std::exception_ptr thrown;
    try {
        failed = co_await exchange_messages(exchange, lease, result);
    } catch (const std::exception&) {
        thrown = std::current_exception();
    }
    // The upload holds a reference to the exchange, so it must end before the exchange does.
    if (m_body.is_uploading()) {
        exchange.cancel();
        co_await m_body.stop_upload();
    }
    m_current_exchange = nullptr;
    if (exchange.has_written() && !(failed && is_reported_not_run(failed->failure))) {
        m_may_have_run = true;
    }
    if (thrown) {
        std::rethrow_exception(thrown);
    }
    exchange.finish(m_body.is_uploaded(), current_time());
    co_return failed;
}

asio::awaitable<bool> request_exchange::has_endpoint_ended(const endpoint_lease& lease)
{
    if (m_context.pool->has_working_idle(lease.address())) {
        co_return false;
    }
    upstream::forwarder check(*m_context.pool, m_memory.upstream_deadline);
    const core::instant now = current_time();
    const std::optional<upstream::forward_failure> failed =
        co_await check.open(lease.address(), now + end_check_timeout, now);
    co_return failed == upstream::forward_failure::refused;
}

asio::awaitable<std::optional<rejection>> request_exchange::exchange_messages(upstream::forwarder& exchange,
                                                                              const endpoint_lease& lease,
                                                                              attempt_result& result)
{
    const core::instant start = current_time();
    const core::duration connect_timeout = m_context.options.connect_timeout;
    const bool is_connect_bounded = connect_timeout > core::duration(0);
    const upstream::connection_filter filter{m_used_connections, lease.opened_until()};
    const std::optional<upstream::forward_failure> open_failure = co_await exchange.open(
        lease.address(),
        is_connect_bounded ? std::min(m_summary.deadline, start + connect_timeout) : m_summary.deadline,
        start, filter, lease.reconnect_check());
    result.was_contacted = open_failure != upstream::forward_failure::connection_limit &&
                           open_failure != upstream::forward_failure::connection_not_allowed;
    if (open_failure) {
        co_return failure_for(*open_failure);
    }
    result.connection_number = exchange.connection_number();
    result.is_connection_reused = exchange.is_reused();
    result.connection_opened_at = exchange.connection_opened_at();
    lease.report_connection(result.connection_opened_at, current_time());
    m_used_connections.push_back(result.connection_number);
    if (m_context.hooks.recheck_authorization) {
        const std::optional<rejection> cause =
            m_context.hooks.recheck_authorization(m_summary, m_admission, current_time());
        if (cause) {
            co_return cause;
        }
    }
    if (note_caller_closed()) {
        co_return rejection{failure::caller_disconnected};
    }
    exchange.set_deadline(m_summary.deadline);
    const std::optional<upstream::forward_failure> write_failure = co_await write_request(exchange, lease);
    m_sent_attempts += exchange.has_written() ? 1 : 0;
    if (write_failure && !exchange.has_written()) {
        co_return failure_for(*write_failure);
    }
    if (!write_failure) {
        m_body.start_upload(exchange, [this] { m_stream.watch_disconnect([this] { handle_disconnect(); }); });
    }
    // The response is also read after a failed write: an upstream that closes before it has read the whole
    // request may have sent a response already.
    const std::optional<upstream::forward_failure> read_failure = co_await exchange.read_header(m_is_head);
    result.time_to_header = current_time() - start;
    if (read_failure) {
        co_return failure_for(*read_failure);
    }
    const std::optional<rejection> failed = co_await receive_response(exchange, result);
    co_return failed;
}

asio::awaitable<std::optional<upstream::forward_failure>>
request_exchange::write_request(upstream::forwarder& exchange, const endpoint_lease& lease)
{
    const dispatch::message_profile& profile = m_context.options.profile;
    dispatch::prepare_upstream_request(m_header, m_request_id, m_summary.deadline - current_time(), profile);
    if (!profile.expected_endpoint_field.empty()) {
        m_header.set(profile.expected_endpoint_field, lease.identity());
    }
    if (!profile.workspace_field.empty() && !m_admission.workspace.empty()) {
        m_header.set(profile.workspace_field, m_admission.workspace);
    }
    m_header.version(11);
    m_body.set_framing(m_header);
    m_memory.header_text.clear();
    append_header_text(m_memory.header_text, m_header);
    upstream::write_buffers buffers;
    buffers.push_back(to_buffer(m_memory.header_text));
    m_body.append_prefix(buffers);
    const std::optional<upstream::forward_failure> failed = co_await exchange.write(buffers);
    co_return failed;
}

asio::awaitable<void> request_exchange::send_lookup_response()
{
    const http::response response = m_context.hooks.serve_lookup(m_summary, current_time());
    const bool is_body_discarded = co_await m_body.discard();
    m_is_keep_alive = m_is_keep_alive && is_body_discarded && !m_context.announces_close.load();
    m_response_status = response.status;
    m_response_bytes = response.body.size();
    const std::string text =
        make_lookup_text(response, m_request_id, m_is_keep_alive, m_is_head, m_context.options.profile);
    co_await send_generated_response(text);
    report_finished(std::nullopt, outcome::ran);
}

asio::awaitable<void> request_exchange::send_generated_response(const std::string& text)
{
    upstream::write_buffers buffers;
    buffers.push_back(asio::buffer(text));
    const core::instant deadline = current_time() + m_context.options.response_write_timeout;
    const bool is_sent = co_await m_stream.write(buffers, deadline);
    m_is_keep_alive = m_is_keep_alive && is_sent;
}

asio::awaitable<void> request_exchange::send_rejection(const rejection& cause)
{
    const bool is_body_discarded = co_await m_body.discard();
    m_is_keep_alive = m_is_keep_alive && is_body_discarded && !m_context.announces_close.load();
    const outcome result = compute_outcome(cause);
    m_response_status = compute_rejection_status(cause, result, m_context.options.profile);
    const std::string text = make_rejection_text(cause, result, m_request_id, m_is_keep_alive, m_is_head,
                                                 m_context.options.profile);
    co_await send_generated_response(text);
}

outcome request_exchange::compute_outcome(const std::optional<rejection>& cause) const
{
    if (!cause || m_has_response) {
        return outcome::ran;
    }
    if (cause->failure == failure::duplicate_request) {
        return cause->recorded.value_or(outcome::unknown);
    }
    // If no byte of the request was written to an upstream, or each such upstream reported that it did not
    // run the request, it was not run, whatever the failure is.
    return m_may_have_run ? outcome::unknown : outcome::not_run;
}

asio::awaitable<void> request_exchange::settle_claim(outcome result)
{
    if (!m_has_claim || !m_context.hooks.settle_claim) {
        co_return;
    }
    m_has_claim = false;
    std::string error_text;
    try {
        co_await m_context.hooks.settle_claim(m_summary, m_admission, result, m_response_status);
    } catch (const std::exception& error) {
        error_text = error.what();
    }
    if (!error_text.empty()) {
        core::error_event("claim_settle_failed").with("request_id", m_request_id).with("error", error_text);
    }
}

asio::awaitable<void> request_exchange::finish(const std::optional<rejection>& cause)
{
    const outcome result = compute_outcome(cause);
    if (result == outcome::not_run) {
        co_await settle_claim(result);
    }
    if (!cause) {
        m_is_keep_alive = m_is_keep_alive && m_body.is_complete();
    } else if (m_has_response_started || m_has_response ||
               dispatch::outcome_rule_for(cause->failure).status == 0) {
        m_is_keep_alive = false;
        m_stream.reset_connection();
    } else {
        co_await send_rejection(*cause);
    }
    m_stream.stop_watching_disconnect();
    co_await settle_claim(result);
    report_finished(cause, result);
}

void request_exchange::report_finished(const std::optional<rejection>& cause, outcome result)
{
    if (!m_context.hooks.on_finished) {
        return;
    }
    request_record record(m_summary, m_admission);
    record.endpoint =
        m_tried_endpoints.empty() ? std::string_view() : std::string_view(m_tried_endpoints.back());
    if (cause) {
        record.failure = cause->failure;
    }
    record.outcome = result;
    record.status = m_response_status;
    record.attempts = m_attempts;
    record.request_bytes = m_body.size();
    record.response_bytes = m_response_bytes;
    record.wait_time = m_wait_time;
    record.total_time = current_time() - m_summary.received_at;
    record.is_lookup = !cause && m_attempts == 0;
    m_context.hooks.on_finished(record);
}

} // namespace quetzalspan::caller
