// Commands that write the configuration: apply, drain, revoke-key.

#pragma once

#include "operator/command.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalspan::admin
{

struct apply_options {
    // If set, the write fails with exit_code::race_lost unless the store holds this revision.
    std::optional<std::uint64_t> base_revision;
    // Whether keys that are revoked in the store and not in the files may work again.
    bool may_reinstate_keys = false;
};

// Replaces the registry and the rules in the store with the files. A key that is revoked in the store and not
// in the registry file is an error unless the options allow it: an older copy of the file would undo a
// revocation.
command_result run_apply(const command_environment& environment, const std::string& registry_path,
                         const std::string& rules_path, const apply_options& options);

enum class drain_kind { region, endpoint };

// Drains the region, or the endpoint with the name "service/id", or ends its drain. After a lost race the
// edit is applied again to the configuration then in the store, a limited number of times.
command_result run_drain(const command_environment& environment, drain_kind kind, const std::string& name,
                         bool ends_drain);

// Revokes the key whose digest begins with the given text of at least 12 hexadecimal digits. If the text is
// empty, the key itself is read from standard input. After a lost race the edit is applied again to the
// configuration then in the store, up to a limit that is meant to outlast any number of ordinary edits.
command_result run_revoke_key(const command_environment& environment, const std::string& digest);

} // namespace quetzalspan::admin
