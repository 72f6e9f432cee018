// Commands that write the configuration: apply, drain, revoke-key.

#pragma once

#include "operator/command.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalspan::admin
{

// Replaces the registry and the rules by the files. With a base revision, anything else in the store is a
// lost race. A key that is revoked in the store and not in the file is a finding unless keys may be
// reinstated: otherwise an older copy of the file would undo a revocation.
struct apply_options {
    std::optional<std::uint64_t> base_revision;
    bool may_reinstate_keys = false;
};

command_result run_apply(const command_environment& environment, const std::string& registry_path,
                         const std::string& rules_path, const apply_options& options);

enum class drain_kind { region, endpoint };

// Drains a region, or an endpoint named "service/id", or ends its drain. Applied to the newest revision, also
// after races.
command_result run_drain(const command_environment& environment, drain_kind kind, const std::string& name,
                         bool ends_drain);

// Revokes the key with this digest or beginning of a digest, at least 12 digits. Without one the key is read
// from standard input. Reapplied on the newest revision until it holds.
command_result run_revoke_key(const command_environment& environment, const std::string& digest);

} // namespace quetzalspan::admin
