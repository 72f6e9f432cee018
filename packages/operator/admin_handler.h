// The HTTP admin interface of an instance: GET /metrics, /ready, /live, /status and /burn.

#pragma once

#include "burn/burn_report.h"
#include "http/server.h"
#include "operator/instance_status.h"

#include <functional>
#include <string>

namespace quetzalspan::admin
{

// Sources of the values that the admin interface reports. The hooks are called from the threads of the server
// and must be thread-safe.
struct admin_hooks {
    std::function<instance_status()> status;
    // Returns all metrics in the Prometheus text exposition format.
    std::function<std::string()> metrics;
    std::function<burn::burn_report()> burn;
    // Whether new requests may be sent to this instance.
    std::function<bool()> is_ready;
    // Whether the process makes progress. A process that does not should be restarted.
    std::function<bool()> is_live;
};

// Returns a handler for http::server that responds as respond() does.
http::request_handler make_admin_handler(admin_hooks hooks);

// Returns the response to one admin request. Also serves programs that run another HTTP server.
// /ready and /live respond with 200 or 503, /status with JSON, /burn with JSON or, for "?format=text", with
// text. Unknown paths respond with 404 and methods other than GET with 405.
http::response respond(const admin_hooks& hooks, const http::request& message);

} // namespace quetzalspan::admin
