// Decides whether an offered configuration may replace the one in force: only one with a higher revision may.

#pragma once

#include "core/name_table.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalspan::config
{

enum class offer_outcome {
    // The offer is in force now.
    applied,
    // The offer is the one in force already.
    unchanged,
    // The offer has a lower revision than the one in force. It comes from a store or peer with stale data.
    older,
    // The offer has the revision in force but another nonce: two writes got the same revision. The one in
    // force is kept; a higher revision resolves the conflict.
    conflict,
    // The offer has errors, or revision 0.
    invalid,
};

inline constexpr core::name_table offer_outcome_names{std::array<core::named_value<offer_outcome>, 5>{{
    {offer_outcome::applied, "applied"},
    {offer_outcome::unchanged, "unchanged"},
    {offer_outcome::older, "older"},
    {offer_outcome::conflict, "conflict"},
    {offer_outcome::invalid, "invalid"},
}}};

// Tracks the revision and nonce in force, and counts the offers that were older or in conflict.
class revision_guard
{
public:
    // Returns the outcome that offer() would return, without changing anything.
    offer_outcome evaluate(std::uint64_t revision, std::string_view nonce) const;

    // Returns the outcome of the offer and counts it if it is older or in conflict. An applied offer becomes
    // the one in force.
    offer_outcome offer(std::uint64_t revision, std::string_view nonce);

    // Revision and nonce in force; 0 and empty before the first applied offer.
    std::uint64_t revision() const { return m_revision; }
    const std::string& nonce() const { return m_nonce; }

    std::uint64_t older_offers() const { return m_older_offers; }
    std::uint64_t conflicts() const { return m_conflicts; }

private:
    // Never decreases.
    std::uint64_t m_revision = 0;
    std::string m_nonce;
    std::uint64_t m_older_offers = 0;
    std::uint64_t m_conflicts = 0;
};

} // namespace quetzalspan::config
