// Classes of response statuses, for the code that reads responses.

#pragma once

namespace quetzalspan::http
{

// A response that is preceded by more interim responses is treated as malformed.
inline constexpr unsigned max_interim_responses = 8;

enum class status_class {
    // Not a status of HTTP, or 101, which would switch the connection to another protocol; no request asks
    // for
    // that.
    invalid,
    // An interim response (1xx), which the final one follows.
    interim,
    final_response,
};

constexpr status_class classify_status(unsigned status)
{
    constexpr unsigned first_interim = 100;
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned first_final = 200;
    if (status < first_interim || status == switching_protocols) {
        return status_class::invalid;
    }
    return status < first_final ? status_class::interim : status_class::final_response;
}

// Returns whether the status says that the server did not execute the request because it rejects it (4xx).
constexpr bool is_client_error(unsigned status)
{
    constexpr unsigned first_client_error = 400;
    constexpr unsigned first_server_error = 500;
    return status >= first_client_error && status < first_server_error;
}

} // namespace quetzalspan::http
