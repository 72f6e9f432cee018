// What an edge instance needs from the deployment that it runs on: a store, and how to read what operators
// and endpoints write there.

#pragma once

#include "core/findings.h"
#include "dispatch/message_profile.h"
#include "placement/endpoint_record.h"
#include "routing/configuration.h"
#include "store/key_value_store.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quetzalspan::edge
{

// The readers add a finding and return nothing for an entry that cannot be used.
struct deployment {
    std::function<std::shared_ptr<store::key_value_store>(const boost::asio::any_io_executor&)> create_store;

    // Begins the keys of operators, endpoints and instances alike, so that one watch covers all.
    std::string watch_prefix;

    // Entries of operators.
    std::string operator_prefix;
    std::function<bool(const std::string& key)> is_configuration;
    std::function<std::optional<routing::configuration>(const store::store_entry&, core::findings&)>
        read_configuration;
    // Returns the zone that the entry asks to evacuate, if it does.
    std::function<std::optional<std::string>(const std::string& key)> read_evacuation;

    // Entries of endpoints.
    std::string endpoint_prefix;
    std::function<std::optional<placement::endpoint_record>(const store::store_entry&, core::findings&)>
        read_endpoint;
    std::function<std::string(const std::string& key)> endpoint_id;

    dispatch::message_profile profile;
};

} // namespace quetzalspan::edge
