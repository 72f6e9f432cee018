// Holds the configuration in force and takes offers from the store and from peers.

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
    // Why the offer is invalid, for the host to log; warnings if it was applied.
    core::findings found;
};

// Not thread-safe: the control thread of the host owns it.
class configuration_tracker
{
public:
    // Takes a configuration if its revision is higher than that in force and it has no errors. The source
    // names who offered it.
    offer_result offer(configuration offered, const std::string& source);

    // The same for the JSON form. A text that cannot be parsed is invalid.
    offer_result offer_json(std::string_view text, const std::string& source);

    // Returns the configuration in force, or nullptr before the first.
    const std::shared_ptr<const configuration>& current() const { return m_current; }

    const revision_guard& revisions() const { return m_revisions; }
    std::uint64_t invalid_offers() const { return m_invalid_offers; }

private:
    offer_result reject(core::findings found);

    revision_guard m_revisions;
    std::shared_ptr<const configuration> m_current;
    std::uint64_t m_invalid_offers = 0;
};

} // namespace quetzalspan::config
