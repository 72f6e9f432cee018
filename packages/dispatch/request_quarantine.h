// Recognizes requests that end the endpoints which process them, so that they are not sent to further ones.
// The same request is recognized by a fingerprint of its content, since each attempt of a caller has an
// identifier of its own.

#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalspan::dispatch
{

// A hash of what an endpoint receives of a request, without its identifier.
using request_fingerprint = std::uint64_t;

struct quarantine_options {
    // The number of endpoints that must have ended under a request, without a success of it in between. One
    // is not enough, because all requests under way at an endpoint are lost when it ends.
    std::size_t endpoint_threshold = 2;
    // An endpoint that ends again under the same identity after this time has been started again in between.
    core::duration restart_time = std::chrono::seconds(1);
    // The duration of the first quarantine of a request. Each further one lasts twice as long, up to the
    // maximum. After the first one, a single endpoint that ends is enough.
    core::duration base_time = std::chrono::seconds(60);
    core::duration max_time = std::chrono::minutes(10);
    // How long the ends of endpoints and the former quarantines of a request are remembered.
    core::duration memory_time = std::chrono::minutes(20);
    // Bounds of memory. The requests under which no endpoint has ended for the longest time are forgotten
    // first.
    std::size_t max_suspects = 1024;
    std::size_t max_successes = 4096;
};

// What is told to other instances about a quarantine.
struct quarantine_notice {
    request_fingerprint request = 0;
    // Zero if the quarantine has been lifted.
    core::duration remaining{0};
    // The time since the first end of an endpoint that counts for it.
    core::duration since_first_end{0};
};

// What the end of an endpoint has changed for a request.
enum class quarantine_change {
    // The request is suspected; too few endpoints have ended yet.
    suspected,
    // The quarantine has begun.
    begun,
    // It has been in force already.
    in_force,
};

// What a success of a request has ended.
enum class success_effect { none, suspicion_ended, quarantine_lifted };

// Thread-safe.
class request_quarantine
{
public:
    explicit request_quarantine(quarantine_options options) : m_options(options) {}

    request_quarantine(const request_quarantine&) = delete;
    request_quarantine& operator=(const request_quarantine&) = delete;

    // Returns the time for which the request must not be sent; no value if it may be.
    std::optional<core::duration> find_remaining(request_fingerprint request, core::instant now) const;

    // Records that an endpoint ended while it processed the request, as seen by this or by another instance.
    quarantine_change record_end(request_fingerprint request, const std::string& endpoint, core::instant now);

    // Records that an endpoint has answered the request, which ends a suspicion and a quarantine.
    success_effect record_success(request_fingerprint request, core::instant now);

    // Applies the notice of another instance. Returns false, without applying it, if the request has
    // succeeded here since the first end: it was only under way at endpoints that ended for another reason.
    bool apply(const quarantine_notice& notice, core::instant now);

    // Returns the notices of all quarantines in force.
    std::vector<quarantine_notice> notices(core::instant now) const;

    // Returns the notice of the request; with a remaining time of zero if it is not in quarantine.
    quarantine_notice notice_of(request_fingerprint request, core::instant now) const;

private:
    struct suspect {
        // The time of the last end of each endpoint, by its identity.
        std::map<std::string, core::instant> ends;
        core::instant first_end;
        core::instant last_end;
        // In the future while the request is in quarantine.
        core::instant quarantined_until;
        std::uint32_t quarantine_count = 0;
    };

    // Returns what is known of the request, or a new entry. Forgets old entries, and the oldest one if there
    // is no room for a new one.
    suspect& get_suspect(request_fingerprint request, core::instant now);
    void record_success_time(request_fingerprint request, core::instant now);
    core::duration compute_time(std::uint32_t quarantine_count) const;
    static quarantine_notice make_notice(request_fingerprint request, const suspect& known,
                                         core::instant now);

    quarantine_options m_options;
    mutable std::mutex m_mutex;
    // The rest is guarded by m_mutex. At most max_suspects.
    std::unordered_map<request_fingerprint, suspect> m_suspects;
    // The last success of requests in two generations, each of at most half of max_successes: the older one
    // is dropped when the newer one is full.
    std::unordered_map<request_fingerprint, core::instant> m_new_successes;
    std::unordered_map<request_fingerprint, core::instant> m_old_successes;
};

} // namespace quetzalspan::dispatch
