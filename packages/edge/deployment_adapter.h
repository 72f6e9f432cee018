// The interface between an edge instance and the deployment that it runs in: how to create the store client,
// and how to parse the entries that operators and endpoints write to the store.

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

// The functions that take core::findings return no value for an entry that cannot be used, and add a finding
// that says why.
struct deployment_adapter {
    std::function<std::shared_ptr<store::key_value_store>(const boost::asio::any_io_executor&)> create_store;

    // The common prefix of the keys of operators, endpoints and instances, so that one watch covers them all.
    std::string watch_prefix;

    // The prefix of the keys that operators write.
    std::string operator_prefix;
    std::function<bool(const std::string& key)> is_configuration;
    std::function<std::optional<routing::configuration>(const store::store_entry&, core::findings&)>
        read_configuration;
    // Returns the availability zone that an entry with this key marks for evacuation; no value if the key is
    // not that of an evacuation.
    std::function<std::optional<std::string>(const std::string& key)> read_evacuation;

    // The prefix of the keys under which endpoints are registered.
    std::string endpoint_prefix;
    std::function<std::optional<placement::endpoint_record>(const store::store_entry&, core::findings&)>
        read_endpoint;
    // Returns the identity of the endpoint that is registered under the key.
    std::function<std::string(const std::string& key)> endpoint_id;

    dispatch::message_profile profile;
};

} // namespace quetzalspan::edge
