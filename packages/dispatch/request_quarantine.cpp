// Counts the endpoints that end under a request, and decides when and for how long it is not sent any more.

#include "dispatch/request_quarantine.h"

#include <algorithm>
#include <utility>

namespace quetzalspan::dispatch
{

std::optional<core::duration> request_quarantine::find_remaining(request_fingerprint request,
                                                                 core::instant now) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::unordered_map<request_fingerprint, suspect>::const_iterator known = m_suspects.find(request);
    if (known == m_suspects.end() || known->second.quarantined_until <= now) {
        return std::nullopt;
    }
    return known->second.quarantined_until - now;
}

quarantine_change request_quarantine::record_end(request_fingerprint request, const std::string& endpoint,
                                                 core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    suspect& known = get_suspect(request, now);
    if (known.ends.empty() && known.quarantine_count == 0) {
        known.first_end = now;
    }
    const auto [end, is_new_endpoint] = known.ends.try_emplace(endpoint, now);
    // Every instance with a request at the endpoint reports the same end.
    const bool is_known_end = !is_new_endpoint && now - end->second < m_options.restart_time;
    const bool is_repeated = !is_new_endpoint && !is_known_end;
    end->second = now;
    known.last_end = now;
    if (known.quarantined_until > now) {
        return quarantine_change::in_force;
    }
    if (is_known_end) {
        return quarantine_change::suspected;
    }
    const bool is_confirmed =
        known.quarantine_count > 0 || is_repeated || known.ends.size() >= m_options.endpoint_threshold;
    if (!is_confirmed) {
        return quarantine_change::suspected;
    }
    known.quarantined_until = now + compute_time(known.quarantine_count);
    ++known.quarantine_count;
    return quarantine_change::begun;
}

core::duration request_quarantine::compute_time(std::uint32_t quarantine_count) const
{
    constexpr std::uint32_t max_doublings = 10;
    return std::min<core::duration>(m_options.base_time *
                                        (std::int64_t{1} << std::min(quarantine_count, max_doublings)),
                                    m_options.max_time);
}

success_effect request_quarantine::record_success(request_fingerprint request, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    record_success_time(request, now);
    const std::unordered_map<request_fingerprint, suspect>::const_iterator known = m_suspects.find(request);
    if (known == m_suspects.end()) {
        return success_effect::none;
    }
    const bool is_quarantined = known->second.quarantined_until > now;
    m_suspects.erase(known);
    return is_quarantined ? success_effect::quarantine_lifted : success_effect::suspicion_ended;
}

void request_quarantine::record_success_time(request_fingerprint request, core::instant now)
{
    if (m_new_successes.size() >= m_options.max_successes / 2 && !m_new_successes.contains(request)) {
        m_old_successes = std::exchange(m_new_successes, {});
    }
    m_new_successes[request] = now;
}

bool request_quarantine::apply(const quarantine_notice& notice, core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (notice.remaining <= core::duration(0)) {
        m_suspects.erase(notice.request);
        return true;
    }
    const core::instant first_end = now - notice.since_first_end;
    for (const std::unordered_map<request_fingerprint, core::instant>* successes :
         {&m_new_successes, &m_old_successes}) {
        const std::unordered_map<request_fingerprint, core::instant>::const_iterator success =
            successes->find(notice.request);
        if (success != successes->end() && success->second > first_end) {
            return false;
        }
    }
    suspect& known = get_suspect(notice.request, now);
    known.first_end = first_end;
    known.last_end = now;
    known.quarantine_count = std::max(known.quarantine_count, 1U);
    known.quarantined_until =
        std::max(known.quarantined_until, now + std::min(notice.remaining, m_options.max_time));
    return true;
}

quarantine_notice request_quarantine::make_notice(request_fingerprint request, const suspect& known,
                                                  core::instant now)
{
    return {request, std::max(known.quarantined_until - now, core::duration(0)), now - known.first_end};
}

std::vector<quarantine_notice> request_quarantine::notices(core::instant now) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::vector<quarantine_notice> result;
    for (const auto& [request, known] : m_suspects) {
        if (known.quarantined_until > now) {
            result.push_back(make_notice(request, known, now));
        }
    }
    return result;
}

quarantine_notice request_quarantine::notice_of(request_fingerprint request, core::instant now) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::unordered_map<request_fingerprint, suspect>::const_iterator known = m_suspects.find(request);
    return known == m_suspects.end() ? quarantine_notice{request, core::duration(0), core::duration(0)}
                                     : make_notice(request, known->second, now);
}

request_quarantine::suspect& request_quarantine::get_suspect(request_fingerprint request, core::instant now)
{
    std::erase_if(m_suspects, [&](const std::pair<const request_fingerprint, suspect>& entry) {
        return now - entry.second.last_end > m_options.memory_time;
    });
    if (m_suspects.size() >= m_options.max_suspects && !m_suspects.contains(request)) {
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(),
                                          [](const std::pair<const request_fingerprint, suspect>& left,
                                             const std::pair<const request_fingerprint, suspect>& right) {
                                              return left.second.last_end < right.second.last_end;
                                          }));
    }
    return m_suspects[request];
}

} // namespace quetzalspan::dispatch
