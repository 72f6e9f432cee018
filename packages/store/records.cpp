// Conversion of the store's records to and from JSON, based on the parts shared with messages.

#include "store/records.h"

#include "codec/record_parts.h"
#include "core/digest.h"

namespace quetzalspan::store
{

namespace
{

constexpr std::size_t max_fenced_members = 10'000;
const std::string root_path = "record";

void add_write_id(Json::Value& record, const write_id& id)
{
    record["version"] = record_version;
    record["write_nonce"] = id.nonce;
    record["write_sequence"] = Json::UInt64(id.sequence);
}

Json::Value strings_to_json(const std::vector<std::string>& values)
{
    Json::Value list(Json::arrayValue);
    for (const std::string& value : values) {
        list.append(value);
    }
    return list;
}

} // namespace

std::string claim_key(std::string_view workspace, std::string_view idempotency_key)
{
    return "claims/" + std::string(workspace) + "/" + core::sha256_hex(idempotency_key);
}

std::string to_record(const membership::member& value, const write_id& id)
{
    Json::Value record = codec::to_json(value);
    add_write_id(record, id);
    return codec::to_compact_text(record);
}

std::string to_record(const allowance::ledger_round& value, const write_id& id)
{
    Json::Value record;
    record["number"] = Json::UInt64(value.number);
    record["fenced"] = strings_to_json(value.fenced);
    record["closed"] = value.is_closed;
    record["grantee"] = value.grantee;
    record["nonce"] = value.close_nonce;
    record["limit_revision"] = Json::UInt64(value.limit_revision);
    record["remainder"] = codec::to_json(value.remainder);
    add_write_id(record, id);
    return codec::to_compact_text(record);
}

std::string to_record(const allowance::share_report& value, const write_id& id)
{
    Json::Value record;
    record["member"] = value.member;
    record["round"] = Json::UInt64(value.round);
    record["limit_revision"] = Json::UInt64(value.limit_revision);
    record["holdings"] = codec::to_json(value.holdings);
    add_write_id(record, id);
    return codec::to_compact_text(record);
}

std::string to_record(const claim& value)
{
    Json::Value record;
    record["version"] = record_version;
    record["owner"] = value.owner;
    record["nonce"] = value.nonce;
    record["request_id"] = value.request_id;
    record["state"] = std::string(claim_state_names.name(value.state));
    record["status"] = value.status;
    record["created_ms"] = Json::Int64(value.created.time_since_epoch().count());
    return codec::to_compact_text(record);
}

membership::member member_from_record(std::string_view text, const std::string& source)
{
    codec::json_reader in(source);
    const Json::Value record = in.parse_object(text);
    in.check_version(record, record_version, root_path);
    membership::member result = codec::read_member(in, record, root_path);
    in.throw_if_errors();
    return result;
}

allowance::ledger_round round_from_record(std::string_view text, const std::string& source)
{
    codec::json_reader in(source);
    const Json::Value record = in.parse_object(text);
    in.check_version(record, record_version, root_path);
    allowance::ledger_round result;
    result.number = in.read_unsigned(record, "number", root_path);
    result.fenced = in.read_strings(record, "fenced", root_path, max_fenced_members);
    result.is_closed = in.read_bool(record, "closed", root_path);
    result.grantee = in.read_string(record, "grantee", root_path);
    result.close_nonce = in.read_string(record, "nonce", root_path);
    result.limit_revision = in.read_unsigned(record, "limit_revision", root_path);
    result.remainder = codec::read_limit_amounts(in, record, "remainder", root_path);
    if (result.is_closed && (result.grantee.empty() || result.close_nonce.empty())) {
        in.add_error(root_path, "a closed round must have a grantee and a nonce");
    }
    if (!result.is_closed && !result.remainder.empty()) {
        in.add_error(root_path + ".remainder", "must be empty while the round is open");
    }
    in.throw_if_errors();
    return result;
}

allowance::share_report report_from_record(std::string_view text, const std::string& source)
{
    codec::json_reader in(source);
    const Json::Value record = in.parse_object(text);
    in.check_version(record, record_version, root_path);
    allowance::share_report result;
    result.member = in.read_string(record, "member", root_path);
    result.round = in.read_unsigned(record, "round", root_path);
    result.limit_revision = in.read_unsigned(record, "limit_revision", root_path);
    result.holdings = codec::read_limit_amounts(in, record, "holdings", root_path);
    in.throw_if_errors();
    return result;
}

claim claim_from_record(std::string_view text, const std::string& source)
{
    codec::json_reader in(source);
    const Json::Value record = in.parse_object(text);
    in.check_version(record, record_version, root_path);
    claim result;
    result.owner = in.read_string(record, "owner", root_path);
    result.nonce = in.read_string(record, "nonce", root_path);
    result.request_id = in.read_string(record, "request_id", root_path);
    result.status = static_cast<std::uint32_t>(in.read_unsigned(record, "status", root_path, 999));
    result.created =
        core::wall_time(std::chrono::milliseconds(in.read_non_negative(record, "created_ms", root_path)));
    const std::optional<claim_state> state =
        claim_state_names.find_value(in.read_string(record, "state", root_path));
    if (!state) {
        in.add_error(root_path + ".state", "must be pending, finished or unknown");
    }
    result.state = state.value_or(claim_state::unknown);
    in.throw_if_errors();
    return result;
}

} // namespace quetzalspan::store
