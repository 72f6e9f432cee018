// JSON encoding of the values that occur both in records in the store and in messages between instances.

#pragma once

#include "allowance/messages.h"
#include "codec/json_reader.h"
#include "membership/member.h"

namespace quetzalspan::codec
{

// Maximum number of limits in one record or message. As many take up half of the maximum size of a value in
// the store.
inline constexpr std::size_t max_limits = 5'000;

// Encodes all of the member except joined_revision, which readers take from the store's metadata.
Json::Value to_json(const membership::member& value);
membership::member read_member(json_reader& in, const Json::Value& value, const std::string& path);

// Writes the amount as "rate", "burst" and "tokens", in millionths, to the object.
void add_amount(Json::Value& object, const allowance::amount& value);
// Reads an amount from an object. Adds a finding if the tokens exceed the burst.
allowance::amount read_amount(json_reader& in, const Json::Value& value, const std::string& path);

Json::Value to_json(const std::vector<allowance::limit_amount>& values);
// Adds a finding for a limit that occurs more than once, since its amount would be counted twice.
std::vector<allowance::limit_amount> read_limit_amounts(json_reader& in, const Json::Value& object,
                                                        const char* name, const std::string& path);

} // namespace quetzalspan::codec
