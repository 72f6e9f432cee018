// Serves one request of a caller: admission, attempts at endpoints, the response, and the record of the
// result.

#pragma once

#include "caller/caller_stream.h"
#include "caller/proxy_context.h"
#include "caller/request_body.h"
#include "dispatch/response_check.h"
#include "dispatch/workspace_key.h"
#include "upstream/forwarder.h"

#include <boost/beast/http/message.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::caller
{

// Buffers and the upstream deadline, which the successive requests of one connection reuse.
struct exchange_memory {
    std::shared_ptr<upstream::socket_deadline> upstream_deadline;
    std::string header_text;
    std::vector<char> relay_buffer;
};

// Used only on the strand of the caller's connection.
class request_exchange
{
public:
    // The header of the request must have been read from the stream and is moved out of it. The arguments
    // must outlive the exchange.
    request_exchange(proxy_context& context, caller_stream& stream,
                     const boost::asio::any_io_executor& strand, exchange_memory& memory);

    request_exchange(const request_exchange&) = delete;
    request_exchange& operator=(const request_exchange&) = delete;

    // Serves the request. Returns whether the connection can carry another one. If not, the connection has
    // been reset or the caller of this function must close it. Exceptions of the hooks are logged and
    // answered as internal errors.
    boost::asio::awaitable<bool> run();

private:
    void fill_summary();
    std::optional<rejection> check_request();
    bool is_lookup() const;

    // The stages of a request. Each returns the rejection if it fails, and no value if the request may go on.
    boost::asio::awaitable<std::optional<rejection>> serve();
    std::optional<rejection> route_request(core::instant now);
    boost::asio::awaitable<std::optional<rejection>> enforce_rate_limit();
    boost::asio::awaitable<std::optional<rejection>> read_body();
    boost::asio::awaitable<std::optional<rejection>> create_claim();
    boost::asio::awaitable<std::optional<rejection>> forward();
    boost::asio::awaitable<std::optional<rejection>> send_attempt(const endpoint_lease& lease,
                                                                  attempt_result& result);
    // Returns whether the endpoint has ended, after it has broken a connection off.
    boost::asio::awaitable<bool> has_endpoint_ended(const endpoint_lease& lease);
    std::uint64_t compute_fingerprint() const;
    boost::asio::awaitable<std::optional<rejection>>
    exchange_messages(upstream::forwarder& exchange, const endpoint_lease& lease, attempt_result& result);
    boost::asio::awaitable<std::optional<upstream::forward_failure>>
    write_request(upstream::forwarder& exchange, const endpoint_lease& lease);
    boost::asio::awaitable<std::optional<rejection>> receive_response(upstream::forwarder& exchange,
                                                                      attempt_result& result);
    // Receives a response of up to response_buffer_bytes before any of it is relayed, so that an incomplete
    // response or a server error can still be retried.
    boost::asio::awaitable<std::optional<rejection>>
    receive_whole_response(upstream::forwarder& exchange, boost::beast::http::response_header<> header,
                           const attempt_result& result);
    // Reads and discards the body of a response. Returns whether its end was reached within the size limit.
    boost::asio::awaitable<bool> discard_body(upstream::forwarder& exchange);
    // Relays the response to the caller, beginning with the part of its body that has been received already.
    boost::asio::awaitable<std::optional<rejection>>
    relay_response(upstream::forwarder& exchange, boost::beast::http::response_header<> header,
                   const std::vector<char>& received);
    boost::asio::awaitable<std::optional<rejection>>
    relay_body(upstream::forwarder& exchange, const std::vector<char>& received, bool is_chunked);

    boost::asio::awaitable<void> send_lookup_response();
    boost::asio::awaitable<void> send_rejection(const rejection& cause);
    boost::asio::awaitable<void> send_generated_response(const std::string& text);
    boost::asio::awaitable<void> settle_claim(dispatch::outcome result);
    boost::asio::awaitable<void> finish(const std::optional<rejection>& cause);

    // Returns whether another attempt may follow, and charges it to the retry budget.
    bool try_grant_retry(dispatch::failure at);
    void handle_disconnect();
    // Looks whether the caller has left, also if the executor has not reported it yet: while the instance is
    // overloaded, a request may be read long after its caller has given up. Returns whether it has left.
    bool note_caller_closed();
    rejection failure_for(upstream::forward_failure at) const;
    static dispatch::failure failure_for(dispatch::response_kind kind);
    dispatch::outcome compute_outcome(const std::optional<rejection>& cause) const;
    void report_finished(const std::optional<rejection>& cause, dispatch::outcome result);

    proxy_context& m_context;
    caller_stream& m_stream;
    boost::asio::any_io_executor m_strand;
    exchange_memory& m_memory;
    // The summary holds views of the header, the key digest and the strings up to the summary.
    boost::beast::http::request_header<> m_header;
    dispatch::workspace_key m_key;
    std::string m_request_id;
    // Copies of values from the header, because the header is modified before it is sent to an upstream.
    std::string m_host;
    std::string m_affinity_key;
    request_summary m_summary;
    std::optional<core::duration> m_allowed_time;
    request_body m_body;
    admission m_admission;
    wait_context m_wait;
    // The upstream exchange that is cancelled when the caller disconnects; null while there is none.
    upstream::forwarder* m_current_exchange = nullptr;
    std::vector<std::string> m_tried_endpoints;
    // All attempts have the same request identifier, so a refusal that an endpoint repeats could be taken for
    // the response to a later attempt on the same connection.
    upstream::connection_numbers m_used_connections;
    std::uint32_t m_attempts = 0;
    // Number of attempts in which at least one byte of the request was written to an endpoint.
    std::uint32_t m_sent_attempts = 0;
    bool m_is_retry_granted = false;
    unsigned m_response_status = 0;
    std::uint64_t m_response_bytes = 0;
    core::duration m_wait_time{0};
    unsigned m_http_version = 11;
    bool m_is_head = false;
    // Whether the caller and this instance both keep the connection open after the response.
    bool m_is_keep_alive = true;
    bool m_has_disconnected = false;
    // Whether a claim was created that has not been settled.
    bool m_has_claim = false;
    // Whether bytes of the request were written to an upstream that did not report that it has not run the
    // request.
    bool m_may_have_run = false;
    // Whether a response to this request was accepted for relaying, which means that the request ran.
    bool m_has_response = false;
    // Whether writing of a final response from an upstream to the caller has begun.
    bool m_has_response_started = false;
};

} // namespace quetzalspan::caller
