// Compiles offered configurations, puts the newest valid one in force, and logs why others are refused.

#include "node/active_configuration.h"

#include "config/configuration_json.h"
#include "core/log_event.h"

namespace quetzalspan::node
{

bool active_configuration::try_compile(const config::configuration& offered, const std::string& source,
                                       core::instant now)
{
    try {
        m_candidate = steering::snapshot::create(offered, m_place, m_routing.get(), now);
        return true;
    } catch (const core::findings_error& error) {
        core::error_event("configuration_rejected")
            .with("source", source)
            .with("revision", offered.revision)
            .with("findings", error.what());
        return false;
    }
}

bool active_configuration::handle_offer_result(const config::offer_result& result,
                                               const std::string& document, const std::string& source)
{
    switch (result.outcome) {
    case config::offer_outcome::applied:
        m_document = document;
        m_routing = std::move(m_candidate);
        core::info_event("configuration_applied").with("source", source).with("revision", revision());
        return true;
    case config::offer_outcome::unchanged:
        break;
    case config::offer_outcome::older:
    case config::offer_outcome::conflict:
        core::warning_event("configuration_refused")
            .with("source", source)
            .with("cause", config::offer_outcome_names.name(result.outcome))
            .with("revision", revision());
        break;
    case config::offer_outcome::invalid:
        core::error_event("configuration_rejected")
            .with("source", source)
            .with("findings", result.found.to_text());
        break;
    }
    m_candidate.reset();
    return false;
}

bool active_configuration::offer(const config::configuration& offered, const std::string& document,
                                 const std::string& source, core::instant now)
{
    const config::offer_outcome expected = m_tracker.revisions().evaluate(offered.revision, offered.nonce);
    if (expected == config::offer_outcome::applied && !try_compile(offered, source, now)) {
        return false;
    }
    return handle_offer_result(m_tracker.offer(offered, source), document, source);
}

bool active_configuration::offer_document(const std::string& document, const std::string& source,
                                          core::instant now)
{
    try {
        return offer(config::configuration_from_json(document, source), document, source, now);
    } catch (const core::findings_error& error) {
        core::error_event("configuration_rejected").with("source", source).with("findings", error.what());
        return false;
    }
}

} // namespace quetzalspan::node
