// Results of store reads that the host passes to the ledger, and writes that the ledger asks the host to
// execute. The keys and the JSON encoding of the records are defined in the store package.

#pragma once

#include "allowance/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace quetzalspan::allowance
{

// The result of one read of the record "ledger/round".
struct round_observation {
    // The revision of the store at the time of the read.
    std::uint64_t store_revision = 0;
    // The revision of the record; 0 if it does not exist.
    std::uint64_t record_revision = 0;
    std::optional<ledger_round> record;
};

// A report record together with its revision, for compare-and-swap.
struct stored_report {
    share_report report;
    std::uint64_t record_revision = 0;
};

// The result of one consistent read of all records under "ledger/report/".
struct report_observation {
    std::uint64_t store_revision = 0;
    std::vector<stored_report> reports;
};

enum class write_status {
    applied,
    // The record did not have the expected revision, so nothing was written.
    conflict,
    // No response arrived: the write may have taken effect, or may still take effect later.
    unknown,
};

struct write_round {
    ledger_round record;
};

struct write_report {
    share_report record;
};

// Sets the state of a member record to suspect.
struct mark_suspect {
    std::string member;
};

struct delete_member {
    std::string member;
};

struct delete_report {
    std::string member;
};

// A compare-and-swap that the host executes. The host passes the result back under the same operation number.
struct store_write {
    std::uint64_t operation = 0;
    // The revision that the record must have; 0 means that it must not exist.
    std::uint64_t expected_revision = 0;
    std::variant<write_round, write_report, mark_suspect, delete_member, delete_report> change;
};

struct write_result {
    std::uint64_t operation = 0;
    write_status status = write_status::unknown;
    // The new revision of the record; meaningful only if the write was applied.
    std::uint64_t record_revision = 0;
};

} // namespace quetzalspan::allowance
