// Holds the configuration in force, its JSON form for peers and its compiled form for requests.

#pragma once

#include "config/configuration_tracker.h"
#include "core/time.h"
#include "steering/snapshot.h"

#include <memory>
#include <string>

namespace quetzalspan::node
{

// Used on the control strand only.
class active_configuration
{
public:
    explicit active_configuration(steering::instance_location place) : m_place(std::move(place)) {}

    // Puts the configuration in force if it is newer than the present one, valid and compilable. The document
    // is its JSON form; the source names where it came from in log events. Returns whether it was put in
    // force; the cause of a refusal is logged.
    bool offer(const config::configuration& offered, const std::string& document, const std::string& source,
               core::instant now);

    // Does the same for a configuration in JSON form. Returns false if the document cannot be parsed.
    bool offer_document(const std::string& document, const std::string& source, core::instant now);

    std::uint64_t revision() const { return m_tracker.revisions().revision(); }
    const std::string& document() const { return m_document; }
    const config::configuration_tracker& tracker() const { return m_tracker; }
    // current() and routing() are null before the first configuration.
    const std::shared_ptr<const config::configuration>& current() const { return m_tracker.current(); }
    const std::shared_ptr<const steering::snapshot>& routing() const { return m_routing; }

private:
    // Compiles the offered configuration into m_candidate. Returns false and logs the findings if it has
    // errors.
    bool try_compile(const config::configuration& offered, const std::string& source, core::instant now);
    // Puts m_candidate in force if the tracker applied the offer, and discards it otherwise. Returns whether
    // it is in force.
    bool handle_offer_result(const config::offer_result& result, const std::string& document,
                             const std::string& source);

    steering::instance_location m_place;
    config::configuration_tracker m_tracker;
    std::string m_document;
    std::shared_ptr<const steering::snapshot> m_routing;
    // The compiled form of the offered configuration; becomes m_routing if the offer is applied.
    std::shared_ptr<const steering::snapshot> m_candidate;
};

} // namespace quetzalspan::node
