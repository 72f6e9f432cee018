// The transfer epoch: the ledger round and the limit revision that two instances must have in common to move
// allowance between them. An instance takes the snapshot for its report at the moment its epoch changes, and
// a transfer is applied only in the epoch in which it was sent. The snapshots of one epoch therefore form a
// consistent cut, which may count a transfer twice but never misses one.

#pragma once

#include <cstdint>

namespace quetzalspan::allowance
{

struct epoch {
    std::uint64_t round = 0;
    std::uint64_t limit_revision = 0;

    friend bool operator==(const epoch&, const epoch&) = default;
};

} // namespace quetzalspan::allowance
