// One request of a caller, from its header to the end of the response.

#pragma once

#include "caller/caller_stream.h"
#include "caller/proxy_context.h"
#include "caller/request_body.h"
#include "dispatch/key_header.h"
#include "dispatch/response_check.h"
#include "upstream/forwarder.h"

#include <boost/beast/http/message.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::caller
{

// Memory that the requests of one connection use one after the other.
struct exchange_memory {
    std::shared_ptr<upstream::socket_deadline> upstream_deadline;
    std::string head;
    std::vector<char> relay;
};

// Used on the strand of its connection.
class request_exchange
{
public:
    // The header of the request has been read from the stream.
    request_exchange(proxy_context& context, caller_stream& stream,
                     const boost::asio::any_io_executor& strand, exchange_memory& memory);

    request_exchange(const request_exchange&) = delete;
    request_exchange& operator=(const request_exchange&) = delete;

    // Serves the request. Returns whether the connection can carry another one; otherwise it has been or must
    // be closed.
    boost::asio::awaitable<bool> run();

private:
    void fill_summary();
    std::optional<rejection> check_request();
    bool is_lookup() const;

    // The stages. A stage that fails returns the rejection.
    boost::asio::awaitable<std::optional<rejection>> serve();
    std::optional<rejection> begin(core::instant now);
    boost::asio::awaitable<std::optional<rejection>> admit();
    boost::asio::awaitable<std::optional<rejection>> read_body();
    boost::asio::awaitable<std::optional<rejection>> claim();
    boost::asio::awaitable<std::optional<rejection>> forward();
    boost::asio::awaitable<std::optional<rejection>> send_attempt(const endpoint_lease& lease,
                                                                  attempt_result& result);
    boost::asio::awaitable<std::optional<rejection>>
    exchange_with(upstream::forwarder& exchange, const endpoint_lease& lease, attempt_result& result);
    boost::asio::awaitable<std::optional<upstream::forward_failure>>
    write_request(upstream::forwarder& exchange, const endpoint_lease& lease);
    boost::asio::awaitable<std::optional<rejection>> receive(upstream::forwarder& exchange,
                                                             attempt_result& result);
    // Receives and checks the response before anything of it is relayed.
    boost::asio::awaitable<std::optional<rejection>> receive_whole(upstream::forwarder& exchange,
                                                                   const attempt_result& result);
    // Reads and drops a body. Returns whether it was complete.
    boost::asio::awaitable<bool> drain_body(upstream::forwarder& exchange);
    // Relays the response; the beginning of its body may have been received already.
    boost::asio::awaitable<std::optional<rejection>> relay_response(upstream::forwarder& exchange,
                                                                    const std::vector<char>& received);
    boost::asio::awaitable<std::optional<rejection>>
    relay_body(upstream::forwarder& exchange, const std::vector<char>& received, bool is_chunked);

    boost::asio::awaitable<void> answer_lookup();
    boost::asio::awaitable<void> answer_rejection(const rejection& cause);
    boost::asio::awaitable<void> send_generated(const std::string& text);
    boost::asio::awaitable<void> settle(dispatch::outcome result);
    boost::asio::awaitable<void> finish(const std::optional<rejection>& cause);

    bool may_retry(dispatch::failure at);
    void handle_departure();
    rejection failure_of(upstream::forward_failure at) const;
    static dispatch::failure failure_of(dispatch::response_kind kind);
    dispatch::outcome outcome_of(const std::optional<rejection>& cause) const;
    void report(const std::optional<rejection>& cause, dispatch::outcome result);

    proxy_context& m_context;
    caller_stream& m_stream;
    boost::asio::any_io_executor m_strand;
    exchange_memory& m_memory;
    // The summary refers to the header and to the strings below it.
    boost::beast::http::request_header<> m_header;
    dispatch::key_header m_key;
    std::string m_request_id;
    // Copies, because the header changes while it is prepared for an upstream.
    std::string m_host;
    std::string m_affinity;
    request_summary m_summary;
    std::optional<core::duration> m_allowed_time;
    request_body m_body;
    admission m_admission;
    wait_context m_wait;
    // The exchange that a departure of the caller cancels; null while there is none.
    upstream::forwarder* m_current = nullptr;
    std::vector<std::string> m_tried;
    std::uint32_t m_attempts = 0;
    // Attempts of which an endpoint can have received the request.
    std::uint32_t m_sends = 0;
    bool m_is_retry_granted = false;
    unsigned m_status = 0;
    std::uint64_t m_response_bytes = 0;
    core::duration m_wait_time{0};
    unsigned m_version = 11;
    bool m_is_head = false;
    // Whether the caller and this instance both keep the connection open after this response.
    bool m_is_keep_alive = true;
    bool m_has_left = false;
    bool m_has_claim = false;
    // Whether a byte reached an upstream that did not say that it shed the request.
    bool m_may_have_run = false;
    bool m_has_response = false;
    // Whether a byte of a final response was written to the caller.
    bool m_is_response_begun = false;
};

} // namespace quetzalspan::caller
