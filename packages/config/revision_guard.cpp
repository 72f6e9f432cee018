// Compares offered revisions and nonces with those in force.

#include "config/revision_guard.h"

namespace quetzalspan::config
{

offer_outcome revision_guard::evaluate(std::uint64_t revision, std::string_view nonce) const
{
    if (revision == 0) {
        return offer_outcome::invalid;
    }
    if (revision > m_revision) {
        return offer_outcome::applied;
    }
    if (revision < m_revision) {
        return offer_outcome::older;
    }
    return nonce == m_nonce ? offer_outcome::unchanged : offer_outcome::conflict;
}

offer_outcome revision_guard::offer(std::uint64_t revision, std::string_view nonce)
{
    const offer_outcome outcome = evaluate(revision, nonce);
    switch (outcome) {
    case offer_outcome::applied:
        m_revision = revision;
        m_nonce = std::string(nonce);
        break;
    case offer_outcome::older:
        ++m_older_offers;
        break;
    case offer_outcome::conflict:
        ++m_conflicts;
        break;
    case offer_outcome::unchanged:
    case offer_outcome::invalid:
        break;
    }
    return outcome;
}

} // namespace quetzalspan::config
