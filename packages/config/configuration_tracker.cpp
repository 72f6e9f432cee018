// Validates offered configurations and puts the valid ones with a higher revision in force.

#include "config/configuration_tracker.h"

#include "config/configuration_json.h"
#include "config/validate.h"

namespace quetzalspan::config
{

offer_result configuration_tracker::reject(core::findings found)
{
    ++m_invalid_offers;
    return {offer_outcome::invalid, std::move(found)};
}

offer_result configuration_tracker::offer(configuration offered, const std::string& source)
{
    core::findings found;
    // Most offers repeat the configuration in force; only one that would replace it is validated.
    if (m_revisions.evaluate(offered.revision, offered.nonce) == offer_outcome::applied) {
        found = validate(offered, source);
    }
    if (offered.revision == 0) {
        found.add_error({source, 0, 0}, "configuration.revision: must be at least 1");
    }
    if (found.has_errors()) {
        return reject(std::move(found));
    }
    const offer_outcome outcome = m_revisions.offer(offered.revision, offered.nonce);
    if (outcome == offer_outcome::applied) {
        m_current = std::make_shared<const configuration>(std::move(offered));
    }
    return {outcome, std::move(found)};
}

offer_result configuration_tracker::offer_json(std::string_view text, const std::string& source)
{
    try {
        return offer(configuration_from_json(text, source), source);
    } catch (const core::findings_error& error) {
        return reject(error.found());
    }
}

} // namespace quetzalspan::config
