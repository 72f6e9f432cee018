// Time helpers and a configuration of three regions and one service for the tests of this package.

#pragma once

#include "config/model.h"
#include "core/time.h"

#include <string>

namespace quetzalspan::steering::tests
{

inline core::instant at_ms(std::int64_t milliseconds)
{
    return core::instant(std::chrono::milliseconds(milliseconds));
}

inline core::wall_time wall_time_at_ms(std::int64_t milliseconds)
{
    return core::wall_time(std::chrono::milliseconds(milliseconds));
}

// Returns a configuration of the regions savo, pohjanmaa and uusimaa with the given number of endpoints in
// each.
inline config::configuration make_configuration(int endpoints_per_region)
{
    config::configuration result;
    result.revision = 1;
    config::service service{"tilauspalvelu", {}};
    std::uint16_t port = 9000;
    for (const std::string region : {"uusimaa", "savo", "pohjanmaa"}) {
        result.inventory.regions.push_back(region);
        result.inventory.availability_zones.push_back({region + "-a", region});
        for (int index = 0; index < endpoints_per_region; ++index) {
            config::endpoint endpoint;
            endpoint.id = region + "-" + std::to_string(index);
            endpoint.availability_zone = region + "-a";
            endpoint.host = "127.0.0.1";
            endpoint.port = port++;
            service.endpoints.push_back(endpoint);
        }
    }
    result.inventory.services.push_back(service);
    result.inventory.workspaces.push_back({"kauppa", 100, 10, 1});
    result.inventory.keys.push_back({std::string(64, 'a'), "kauppa", false});
    result.inventory.keys.push_back({std::string(64, 'b'), "kauppa", true});
    result.inventory.sites.push_back({"kuopio", {"savo", "uusimaa"}});
    result.inventory.sites.push_back({"vaasa", {"pohjanmaa"}});
    result.inventory.client_blocks.push_back({"10.1.0.0/16", "kuopio"});
    result.inventory.client_blocks.push_back({"2001:db8:1::/48", "vaasa"});
    result.policy.routes.push_back({"/", "tilauspalvelu", true});
    result.policy.routes.push_back({"/orders", "tilauspalvelu", false});
    return result;
}

} // namespace quetzalspan::steering::tests
