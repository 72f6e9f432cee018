// JSON forms of the parts that records in the store and messages between instances have in common.

#pragma once

#include "allowance/messages.h"
#include "codec/json_reader.h"
#include "membership/member.h"

namespace quetzalspan::codec
{

// Most limits in one record or message; so many fill half of the largest value in the store.
inline constexpr std::size_t most_limits = 5'000;

// The member without its joined_revision, which is the store's metadata.
Json::Value to_json(const membership::member& value);
membership::member read_member(json_reader& in, const Json::Value& value, const std::string& path);

// The members "rate", "burst" and "tokens", in millionths.
void add_amount(Json::Value& object, const allowance::amount& value);
// Adds a finding if the tokens exceed the burst.
allowance::amount read_amount(json_reader& in, const Json::Value& value, const std::string& path);

Json::Value to_json(const std::vector<allowance::limit_amount>& values);
// Adds a finding for a limit that stands in the list twice: its amount would count twice.
std::vector<allowance::limit_amount> read_limit_amounts(json_reader& in, const Json::Value& object,
                                                        const char* name, const std::string& path);

} // namespace quetzalspan::codec
