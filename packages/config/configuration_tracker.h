// Holds the configuration in force and decides whether one offered by the store or a peer replaces it.

#pragma once

#include "config/model.h"
#include "config/revision_guard.h"
#include "core/findings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace quetzalspan::config
{

struct offer_result {
    offer_outcome outcome = offer_outcome::invalid;
    // The errors of an invalid offer, or the warnings of an applied one. The caller logs them.
    core::findings found;
};

// Not thread-safe. Used by the control thread only.
class configuration_tracker
{
public:
    // Puts a configuration in force if its revision is higher than the one in force and it has no errors. The
    // source names who offered it in findings.
    offer_result offer(configuration offered, const std::string& source);

    // Does the same for a configuration in JSON form. A text that cannot be parsed is an invalid offer.
    offer_result offer_json(std::string_view text, const std::string& source);

    // Returns the configuration in force, or nullptr before the first was applied.
    const std::shared_ptr<const configuration>& current() const { return m_current; }

    const revision_guard& revisions() const { return m_revisions; }
    // Number of offers that were invalid.
    std::uint64_t invalid_offers() const { return m_invalid_offers; }

private:
    // Counts an invalid offer and returns its result.
    offer_result reject(core::findings found);

    revision_guard m_revisions;
    std::shared_ptr<const configuration> m_current;
    std::uint64_t m_invalid_offers = 0;
};

} // namespace quetzalspan::config
