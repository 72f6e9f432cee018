// The configuration that the scripts use: two services with a safe and an unsafe route each, like the small
// deployments.

#pragma once

#include <string>

namespace review
{

struct config_options {
    int version = 7;
    // The API keys of the tenant "amber", as a JSON list.
    std::string keys = "[\"key-amber-1\"]";
    int unsafe_timeout_ms = 2500;
    int safe_timeout_ms = 2000;
};

// Returns the value of op/config. The paths /safe/ and /unsafe/ go to the service "orders".
inline std::string make_config(const config_options& options = {})
{
    const std::string common = ",\"priority\":1,\"service\":\"orders\",\"maxAttempts\":2,\"public\":false,"
                               "\"sessionAffinity\":false,\"homeRegions\":[]}";
    return "{\"version\":\"r" + std::to_string(options.version) +
           "\",\"routes\":{\"r-safe\":{\"host\":\"review.example\",\"prefix\":\"/safe/\",\"kind\":\"safe\","
           "\"timeoutMs\":" +
           std::to_string(options.safe_timeout_ms) + ",\"targetLatencyMs\":250" + common +
           ",\"r-unsafe\":{\"host\":\"review.example\",\"prefix\":\"/unsafe/"
           "\",\"kind\":\"unsafe\",\"timeoutMs\":" +
           std::to_string(options.unsafe_timeout_ms) + ",\"targetLatencyMs\":300" + common +
           "},\"services\":{\"orders\":{\"healthCheckPath\":\"/"
           "health\",\"maxConnections\":330,\"protocol\":\"h1\","
           "\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":4.8}},\"limits\":{\"maxHeaderBytes\":16384,"
           "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":{"
           "\"amber\":{"
           "\"apiKeys\":" +
           options.keys + ",\"priority\":1,\"ratePerS\":0,\"burst\":0,\"homeRegions\":[]}}}";
}

} // namespace review
