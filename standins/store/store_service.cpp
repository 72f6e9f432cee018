// Handles the HTTP requests of the store stand-in: the store protocol under /v1/ and the control of faults
// under /standin/.

#include "standins/store/store_service.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <json/json.h>

#include <charconv>
#include <stdexcept>

namespace quetzalspan::standin_store
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view key_path_prefix = "/v1/kv/";
constexpr std::string_view lease_path = "/v1/leases";
// A longer timeout of a watch is cut to this.
constexpr std::chrono::milliseconds watch_timeout_limit(60'000);

http::response to_response(unsigned status, const Json::Value& body)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    http::response response;
    response.status = status;
    response.body = Json::writeString(builder, body);
    return response;
}

http::response error_response(unsigned status, const std::string& message)
{
    Json::Value body;
    body["error"] = message;
    return to_response(status, body);
}

Json::Value to_json(const entry& item)
{
    Json::Value value;
    value["key"] = item.key;
    value["value"] = item.value;
    value["revision"] = Json::UInt64(item.revision);
    value["created_revision"] = Json::UInt64(item.created_revision);
    value["lease"] = Json::UInt64(item.lease);
    return value;
}

Json::Value to_json(const std::optional<entry>& item)
{
    return item ? to_json(*item) : Json::Value(Json::nullValue);
}

std::uint64_t parse_number(const std::string& text, const std::string& name)
{
    std::uint64_t value = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        throw std::invalid_argument(name + " must be a whole number");
    }
    return value;
}

std::uint64_t require_number_parameter(const http::target& target, const std::string& name)
{
    const std::optional<std::string> text = target.find_parameter(name);
    if (!text) {
        throw std::invalid_argument("parameter " + name + " is missing");
    }
    return parse_number(*text, name);
}

std::string require_parameter(const http::target& target, const std::string& name)
{
    const std::optional<std::string> text = target.find_parameter(name);
    if (!text) {
        throw std::invalid_argument("parameter " + name + " is missing");
    }
    return *text;
}

Json::Value parse_body(const std::string& body)
{
    Json::Value value;
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    const std::unique_ptr<Json::CharReader> parser(builder.newCharReader());
    std::string errors;
    if (!parser->parse(body.data(), body.data() + body.size(), &value, &errors) || !value.isObject()) {
        throw std::invalid_argument("the body is not a JSON object: " + errors);
    }
    return value;
}

std::uint64_t require_number(const Json::Value& body, const char* name)
{
    if (!body[name].isUInt64()) {
        throw std::invalid_argument(std::string(name) + " must be a whole number");
    }
    return body[name].asUInt64();
}

http::response to_response(const write_result& result)
{
    Json::Value body;
    body["revision"] = Json::UInt64(result.revision);
    switch (result.status) {
    case write_status::applied:
        return to_response(200, body);
    case write_status::conflict:
        body["current"] = to_json(result.current);
        return to_response(409, body);
    case write_status::unknown_lease:
        return error_response(412, "the lease is not known");
    }
    return error_response(500, "unknown status");
}

// Makes the server close the connection without a response.
http::response closing_response()
{
    http::response response;
    response.close_without_response = true;
    return response;
}

} // namespace

store_service::store_service(service_options options, clock now)
    : m_options(options), m_clock(std::move(now)), m_state(options.state)
{
}

asio::awaitable<http::response> store_service::handle(http::request message)
{
    core::duration delay{};
    bool is_stalled = false;
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        delay = m_delay;
        is_stalled = m_availability == availability::unanswered;
        if (m_availability == availability::refusing) {
            co_return closing_response();
        }
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    if (is_stalled) {
        co_await wait_until_responsive();
        co_return closing_response();
    }
    if (delay > core::duration::zero()) {
        asio::steady_timer pause(executor, delay);
        co_await pause.async_wait(asio::use_awaitable);
    }
    const http::target target = http::target::create(message.target);
    if (target.path() == "/v1/watch" && message.method == "GET") {
        co_return co_await watch(target);
    }
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (target.path() == "/v1/kv" || target.path().starts_with(key_path_prefix)) {
        co_return handle_keys(message, target);
    }
    if (target.path().starts_with(lease_path)) {
        co_return handle_leases(message, target.path());
    }
    if (target.path() == "/v1/instances" && message.method == "GET") {
        co_return list_instances();
    }
    co_return error_response(404, "no such resource");
}

asio::awaitable<void> store_service::wait_until_responsive()
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    while (true) {
        const waiter timer = add_waiter(executor);
        if (current_availability() != availability::unanswered) {
            co_return;
        }
        co_await wait_for_change(timer, std::chrono::steady_clock::time_point::max());
    }
}

asio::awaitable<http::response> store_service::watch(const http::target& target)
{
    const std::string prefix = require_parameter(target, "prefix");
    const std::uint64_t after_revision = require_number_parameter(target, "after");
    const std::chrono::milliseconds timeout(require_number_parameter(target, "timeout_ms"));
    const std::chrono::steady_clock::time_point deadline =
        std::chrono::steady_clock::now() + std::min(timeout, watch_timeout_limit);
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        if (!admit("watch", call_class::read)) {
            co_return error_response(429, "the limit of reads is exceeded");
        }
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    while (true) {
        // Registers the waiter before the state is read, so that a change between the read and the wait wakes
        // it.
        const waiter timer = add_waiter(executor);
        bool is_stalled = false;
        {
            const std::lock_guard<std::mutex> guard(m_mutex);
            if (m_availability == availability::refusing) {
                co_return closing_response();
            }
            is_stalled = m_are_watches_stalled || m_availability == availability::unanswered;
            const change_list found = m_state.changes_after(prefix, after_revision);
            const bool should_respond =
                found.is_discarded || !found.changes.empty() || std::chrono::steady_clock::now() >= deadline;
            if (should_respond && !is_stalled) {
                Json::Value body;
                body["revision"] = Json::UInt64(found.revision);
                body["changes"] = Json::Value(Json::arrayValue);
                for (const change& item : found.changes) {
                    Json::Value value;
                    value["key"] = item.key;
                    value["revision"] = Json::UInt64(item.revision);
                    value["entry"] = to_json(item.current);
                    body["changes"].append(value);
                }
                co_return to_response(found.is_discarded ? 410 : 200, body);
            }
        }
        co_await wait_for_change(timer, is_stalled ? std::chrono::steady_clock::time_point::max() : deadline);
    }
}

asio::awaitable<void> store_service::wait_for_change(waiter timer,
                                                     std::chrono::steady_clock::time_point deadline)
{
    timer->expires_at(deadline);
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_waiters.erase(timer);
}

store_service::waiter store_service::add_waiter(const asio::any_io_executor& executor)
{
    const waiter timer = std::make_shared<asio::steady_timer>(executor);
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_waiters.insert(timer);
    return timer;
}

// Posts the cancellations to the executors of the waiting coroutines, so that each runs after its wait has
// begun. A cancellation before that would be lost.
void store_service::wake_waiters()
{
    for (const waiter& timer : m_waiters) {
        asio::post(timer->get_executor(), [timer] { timer->cancel(); });
    }
    m_waiters.clear();
}

http::response store_service::handle_keys(const http::request& message, const http::target& target)
{
    if (target.path() == "/v1/kv") {
        if (message.method != "GET") {
            return error_response(405, "only GET is possible");
        }
        return list_entries(require_parameter(target, "prefix"));
    }
    const std::string key = target.path().substr(key_path_prefix.size());
    if (message.method == "GET") {
        return read_entry(key);
    }
    if (message.method == "PUT") {
        return write_entry(key, message.body);
    }
    if (message.method == "DELETE") {
        return delete_entry(key, target);
    }
    return error_response(405, "only GET, PUT and DELETE are possible");
}

http::response store_service::read_entry(const std::string& key)
{
    if (!admit("read", call_class::read)) {
        return error_response(429, "the limit of reads is exceeded");
    }
    const std::optional<entry> found = m_state.find_entry(key);
    Json::Value body;
    body["revision"] = Json::UInt64(m_state.revision());
    body["entry"] = to_json(found);
    return to_response(found ? 200 : 404, body);
}

http::response store_service::list_entries(const std::string& prefix)
{
    if (!admit("list", call_class::read)) {
        return error_response(429, "the limit of reads is exceeded");
    }
    Json::Value body;
    body["revision"] = Json::UInt64(m_state.revision());
    body["entries"] = Json::Value(Json::arrayValue);
    for (const entry& item : m_state.list(prefix)) {
        body["entries"].append(to_json(item));
    }
    return to_response(200, body);
}

http::response store_service::write_entry(const std::string& key, const std::string& body)
{
    const Json::Value request_body = parse_body(body);
    const std::uint64_t expected = require_number(request_body, "expected_revision");
    const std::uint64_t lease = request_body.isMember("lease") ? require_number(request_body, "lease") : 0;
    if (!request_body["value"].isString()) {
        throw std::invalid_argument("value must be a string");
    }
    if (!admit("write", call_class::write)) {
        return error_response(429, "the limit of writes is exceeded");
    }
    const std::string value = request_body["value"].asString();
    if (value.size() > m_options.value_limit_bytes) {
        return error_response(413, "the value exceeds the limit");
    }
    return execute_or_hold(
        [this, key, value, expected, lease] { return m_state.put(key, value, expected, lease, m_clock()); });
}

http::response store_service::delete_entry(const std::string& key, const http::target& target)
{
    const std::uint64_t expected = require_number_parameter(target, "expected_revision");
    if (!admit("delete", call_class::write)) {
        return error_response(429, "the limit of writes is exceeded");
    }
    return execute_or_hold([this, key, expected] { return m_state.erase(key, expected, m_clock()); });
}

http::response store_service::handle_leases(const http::request& message, const std::string& path)
{
    constexpr std::string_view keepalive = "/keepalive";
    if (path == lease_path && message.method == "POST") {
        const std::uint64_t ttl_ms = require_number(parse_body(message.body), "ttl_ms");
        if (!admit("lease_create", call_class::write)) {
            return error_response(429, "the limit of writes is exceeded");
        }
        Json::Value body;
        body["lease"] = Json::UInt64(m_state.create_lease(std::chrono::milliseconds(ttl_ms), m_clock()));
        return finish_write(to_response(200, body));
    }
    if (!path.starts_with(std::string(lease_path) + "/")) {
        return error_response(404, "no such resource");
    }
    std::string id = path.substr(lease_path.size() + 1);
    bool is_known = false;
    if (message.method == "POST" && id.ends_with(keepalive)) {
        id.resize(id.size() - keepalive.size());
        const std::uint64_t lease = parse_number(id, "lease");
        if (!admit("lease_keepalive", call_class::write)) {
            return error_response(429, "the limit of writes is exceeded");
        }
        is_known = m_state.keep_alive(lease, m_clock());
    } else if (message.method == "DELETE") {
        const std::uint64_t lease = parse_number(id, "lease");
        if (!admit("lease_revoke", call_class::write)) {
            return error_response(429, "the limit of writes is exceeded");
        }
        is_known = m_state.revoke_lease(lease, m_clock());
    } else {
        return error_response(405, "only POST to keepalive and DELETE are possible");
    }
    if (!is_known) {
        return finish_write(error_response(404, "the lease is not known"));
    }
    return finish_write(to_response(200, Json::Value(Json::objectValue)));
}

http::response store_service::list_instances()
{
    if (!admit("instances", call_class::read)) {
        return error_response(429, "the limit of reads is exceeded");
    }
    Json::Value body;
    body["instances"] = Json::Value(Json::arrayValue);
    for (const instance_info& item : m_state.instances(m_clock())) {
        Json::Value value;
        value["id"] = item.id;
        value["state"] = item.state;
        body["instances"].append(value);
    }
    return to_response(200, body);
}

bool store_service::admit(const std::string& kind, call_class limit_class)
{
    const core::instant now = m_clock();
    const bool is_write = limit_class == call_class::write;
    rate_window& current = is_write ? m_write_window : m_read_window;
    const std::uint64_t limit = is_write ? m_options.writes_per_second : m_options.reads_per_second;
    if (now - current.begin >= std::chrono::seconds(1)) {
        current = {now, 0};
    }
    ++current.calls;
    ++m_counters[kind];
    if (limit != 0 && current.calls > limit) {
        ++m_counters["over_limit"];
        return false;
    }
    if (m_state.expire_leases(now)) {
        wake_waiters();
    }
    return true;
}

http::response store_service::execute_or_hold(std::function<write_result()> write)
{
    if (m_writes_to_hold > 0) {
        --m_writes_to_hold;
        m_held_writes.push_back(std::move(write));
        return closing_response();
    }
    return finish_write(to_response(write()));
}

http::response store_service::finish_write(http::response response)
{
    wake_waiters();
    if (m_responses_to_lose > 0) {
        --m_responses_to_lose;
        response.close_without_response = true;
    }
    return response;
}

http::response store_service::handle_control(const http::request& message)
{
    const http::target target = http::target::create(message.target);
    const std::string& path = target.path();
    if (path == "/standin/counters") {
        Json::Value body(Json::objectValue);
        for (const auto& [kind, count] : counters()) {
            body[kind] = Json::UInt64(count);
        }
        return to_response(200, body);
    }
    if (message.method != "POST") {
        return error_response(405, "faults are set by POST");
    }
    bool is_found = true;
    if (path == "/standin/down") {
        const std::string mode = require_parameter(target, "mode");
        if (mode != "off" && mode != "refuse" && mode != "ignore") {
            throw std::invalid_argument("mode must be off, refuse or ignore");
        }
        set_availability(mode == "off"      ? availability::up
                         : mode == "refuse" ? availability::refusing
                                            : availability::unanswered);
    } else if (path == "/standin/slow") {
        set_delay(std::chrono::milliseconds(require_number_parameter(target, "ms")));
    } else if (path == "/standin/lose-write-answers") {
        lose_next_write_responses(require_number_parameter(target, "count"));
    } else if (path == "/standin/hold-writes") {
        hold_next_writes(require_number_parameter(target, "count"));
    } else if (path == "/standin/release-writes") {
        release_held_writes();
    } else if (path == "/standin/stall-watches") {
        set_watches_stalled(require_parameter(target, "on") == "true");
    } else if (path == "/standin/expire-lease") {
        is_found = expire_lease_of(require_parameter(target, "key"));
    } else if (path == "/standin/snapshot") {
        take_snapshot(require_parameter(target, "name"));
    } else if (path == "/standin/restore") {
        is_found = restore_snapshot(require_parameter(target, "name"));
    } else if (path == "/standin/discard-history") {
        discard_history();
    } else if (path == "/standin/limits") {
        set_limits(require_number_parameter(target, "writes"), require_number_parameter(target, "reads"));
    } else {
        return error_response(404, "no such control");
    }
    return is_found ? to_response(200, Json::Value(Json::objectValue)) : error_response(404, "not found");
}

void store_service::expire_leases()
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (m_state.expire_leases(m_clock())) {
        wake_waiters();
    }
}

void store_service::set_availability(availability value)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_availability = value;
    wake_waiters();
}

availability store_service::current_availability() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_availability;
}

void store_service::set_delay(core::duration delay)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_delay = delay;
}

void store_service::lose_next_write_responses(std::uint64_t count)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_responses_to_lose = count;
}

void store_service::hold_next_writes(std::uint64_t count)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_writes_to_hold = count;
}

void store_service::release_held_writes()
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_writes_to_hold = 0;
    for (const std::function<write_result()>& write : m_held_writes) {
        write();
    }
    m_held_writes.clear();
    wake_waiters();
}

void store_service::set_watches_stalled(bool are_stalled)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_are_watches_stalled = are_stalled;
    wake_waiters();
}

bool store_service::expire_lease_of(const std::string& key)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::optional<entry> found = m_state.find_entry(key);
    if (!found || found->lease == 0) {
        return false;
    }
    m_state.revoke_lease(found->lease, m_clock());
    wake_waiters();
    return true;
}

void store_service::take_snapshot(const std::string& name)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_state.take_snapshot(name);
}

bool store_service::restore_snapshot(const std::string& name)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const bool is_restored = m_state.restore_snapshot(name, m_clock());
    wake_waiters();
    return is_restored;
}

void store_service::discard_history()
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_state.discard_history();
    wake_waiters();
}

void store_service::set_limits(std::uint64_t writes_per_second, std::uint64_t reads_per_second)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_options.writes_per_second = writes_per_second;
    m_options.reads_per_second = reads_per_second;
}

call_counters store_service::counters() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_counters;
}

std::uint64_t store_service::total_calls() const
{
    std::uint64_t total = 0;
    for (const auto& [kind, count] : counters()) {
        total += kind == "over_limit" ? 0 : count;
    }
    return total;
}

} // namespace quetzalspan::standin_store
