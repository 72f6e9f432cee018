// Checks the framing, fields and targets of HTTP/1.1 messages, and removes or sets header fields before a
// message is forwarded.

#include "dispatch/header_rules.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <string>
#include <vector>

namespace quetzalspan::dispatch
{

namespace beast = boost::beast;
using fields_type = beast::http::fields;

namespace
{

// Allows bodies of almost 10^18 bytes; a longer number could overflow the parser's 64-bit count.
constexpr std::size_t max_content_length_digits = 18;

constexpr std::array<std::string_view, 9> hop_by_hop_fields{
    "Connection", "Keep-Alive",     "Proxy-Connection",  "TE", "Trailer", "Transfer-Encoding",
    "Upgrade",    "HTTP2-Settings", "Proxy-Authenticate"};

bool is_token_character(char character)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    const bool is_letter_or_digit = (character >= '0' && character <= '9') ||
                                    (character >= 'a' && character <= 'z') ||
                                    (character >= 'A' && character <= 'Z');
    return is_letter_or_digit || punctuation.find(character) != std::string_view::npos;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

bool is_token(std::string_view text)
{
    for (const char character : text) {
        if (!is_token_character(character)) {
            return false;
        }
    }
    return !text.empty();
}

// Returns the decimal number without an exponent that the value consists of, besides space around it;
// infinity if it is too large. Returns no value for any other text.
std::optional<double> parse_decimal(beast::string_view value)
{
    const std::string_view text = trim(std::string_view(value.data(), value.size()));
    double number = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (parsed.ptr != text.data() + text.size() || std::isnan(number)) {
        return std::nullopt;
    }
    if (parsed.ec == std::errc::result_out_of_range && text.front() != '-') {
        return std::numeric_limits<double>::infinity();
    }
    return parsed.ec == std::errc() ? std::optional<double>(number) : std::nullopt;
}

// Returns whether the text has no control character except tabs.
bool is_valid_field_value(std::string_view text)
{
    for (const char character : text) {
        const unsigned code = static_cast<unsigned char>(character);
        if ((code < 0x20 && code != '\t') || code == 0x7f) {
            return false;
        }
    }
    return true;
}

bool is_valid_content_length(std::string_view value)
{
    if (value.empty() || value.size() > max_content_length_digits) {
        return false;
    }
    return value.find_first_not_of("0123456789") == std::string_view::npos;
}

// Occurrences of the fields in one header that determine the framing or the host.
struct framing_field_counts {
    unsigned content_lengths = 0;
    unsigned transfer_encodings = 0;
    unsigned hosts = 0;
};

// Checks one line of a header and counts its field. A folded line (obs-fold) or white space before the colon
// is ambiguous framing, because programs differ in how they read it. Returns the reason to reject the
// message.
std::optional<failure> check_field(std::string_view line, framing_field_counts& counts)
{
    if (line.front() == ' ' || line.front() == '\t') {
        return failure::ambiguous_framing;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return failure::malformed_header;
    }
    const std::string_view name = line.substr(0, colon);
    if (!name.empty() && (name.back() == ' ' || name.back() == '\t')) {
        return failure::ambiguous_framing;
    }
    const std::string_view value = trim(line.substr(colon + 1));
    if (!is_token(name) || !is_valid_field_value(value)) {
        return failure::malformed_header;
    }
    if (beast::iequals(name, "Content-Length")) {
        ++counts.content_lengths;
        if (!is_valid_content_length(value)) {
            return failure::ambiguous_framing;
        }
    } else if (beast::iequals(name, "Transfer-Encoding")) {
        ++counts.transfer_encodings;
        if (!beast::iequals(value, "chunked")) {
            return failure::unsupported_transfer_coding;
        }
    } else if (beast::iequals(name, "Host")) {
        ++counts.hosts;
    }
    return std::nullopt;
}

// Checks the fields of a whole header: framing that is given twice or in two ways, a transfer coding in
// HTTP/1.0, and a missing or repeated Host. Returns the reason to reject the message.
std::optional<failure> check_field_counts(const framing_field_counts& counts, message_kind kind,
                                          bool is_http_10)
{
    if (counts.content_lengths + counts.transfer_encodings > 1) {
        return failure::ambiguous_framing;
    }
    if (counts.transfer_encodings > 0 && is_http_10) {
        return failure::ambiguous_framing;
    }
    if (kind == message_kind::request && (counts.hosts > 1 || (counts.hosts == 0 && !is_http_10))) {
        return failure::malformed_header;
    }
    return std::nullopt;
}

// Returns the path with percent-encoded dots, slashes and backslashes decoded, and every backslash replaced
// by a slash.
std::string decode_separators(std::string_view path)
{
    std::string result;
    result.reserve(path.size());
    for (std::size_t index = 0; index < path.size(); ++index) {
        char character = path[index];
        if (character == '%' && index + 2 < path.size()) {
            const std::string_view code = path.substr(index + 1, 2);
            if (code == "2e" || code == "2E") {
                character = '.';
            } else if (code == "2f" || code == "2F") {
                character = '/';
            } else if (code == "5c" || code == "5C") {
                character = '\\';
            }
            index += character == '%' ? 0 : 2;
        }
        result += character == '\\' ? '/' : character;
    }
    return result;
}

void remove_control_fields(fields_type& fields, std::string_view control_prefix)
{
    if (control_prefix.empty()) {
        return;
    }
    for (fields_type::const_iterator entry = fields.begin(); entry != fields.end();) {
        const std::string_view name(entry->name_string().data(), entry->name_string().size());
        const bool is_control = name.size() >= control_prefix.size() &&
                                beast::iequals(name.substr(0, control_prefix.size()), control_prefix);
        entry = is_control ? fields.erase(entry) : std::next(entry);
    }
}

// Returns whether the first field of that name has the value, ignoring case.
bool has_field_value(const fields_type& fields, std::string_view name, std::string_view value)
{
    const fields_type::const_iterator entry = fields.find(name);
    return entry != fields.end() && beast::iequals(entry->value(), value);
}

} // namespace

std::optional<failure> check_header_block(std::string_view block, message_kind kind)
{
    framing_field_counts counts;
    bool is_start_line = true;
    bool is_http_10 = false;
    while (!block.empty()) {
        const std::size_t end = block.find('\n');
        if (end == std::string_view::npos || end == 0 || block[end - 1] != '\r') {
            return failure::malformed_header;
        }
        const std::string_view line = block.substr(0, end - 1);
        block.remove_prefix(end + 1);
        if (line.empty()) {
            break;
        }
        if (line.find('\r') != std::string_view::npos) {
            return failure::malformed_header;
        }
        if (is_start_line) {
            is_http_10 = line.find("HTTP/1.0") != std::string_view::npos;
            is_start_line = false;
            continue;
        }
        if (const std::optional<failure> found = check_field(line, counts)) {
            return found;
        }
    }
    return check_field_counts(counts, kind, is_http_10);
}

namespace
{

// Returns the value of a hexadecimal digit; -1 for any other character.
int hex_value(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    constexpr int first_letter = 10;
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + first_letter : -1;
}

// Returns whether the character never needs a percent-encoding in a URI (RFC 3986, 2.3).
bool is_unreserved(int code)
{
    const bool is_letter = (code >= 'a' && code <= 'z') || (code >= 'A' && code <= 'Z');
    return is_letter || (code >= '0' && code <= '9') || code == '-' || code == '.' || code == '_' ||
           code == '~';
}

// Returns whether the path percent-encodes an unreserved character, which needs no encoding (RFC 3986, 2.3),
// or holds a percent sign that is not followed by two hexadecimal digits.
bool has_invalid_or_unreserved_encoding(std::string_view path)
{
    for (std::size_t position = path.find('%'); position != std::string_view::npos;
         position = path.find('%', position + 1)) {
        const int high = position + 1 < path.size() ? hex_value(path[position + 1]) : -1;
        const int low = position + 2 < path.size() ? hex_value(path[position + 2]) : -1;
        if (high < 0 || low < 0 || is_unreserved(high * 16 + low)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::optional<failure> check_target(std::string_view target)
{
    if (target.empty() || target.front() != '/') {
        return failure::malformed_target;
    }
    const std::string_view path = target.substr(0, target.find_first_of("?#"));
    // An upstream that merges slashes or decodes unreserved characters would see another path than the one
    // that was matched against the routes, so a path of a public route could reach one that needs a key.
    if (path.find("//") != std::string_view::npos || has_invalid_or_unreserved_encoding(path)) {
        return failure::malformed_target;
    }
    // Most paths have neither a dot segment nor an encoded character and need no copy.
    if (path.find('%') == std::string_view::npos && path.find("/.") == std::string_view::npos &&
        path.find('\\') == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string decoded = decode_separators(path) + "/";
    if (decoded.find("/./") != std::string::npos || decoded.find("/../") != std::string::npos) {
        return failure::malformed_target;
    }
    return std::nullopt;
}

std::optional<failure> check_method_and_upgrade(std::string_view method, const fields_type& fields)
{
    if (method == "CONNECT") {
        return failure::method_unsupported;
    }
    if (fields.count(beast::http::field::upgrade) > 0) {
        return failure::upgrade_unsupported;
    }
    if (fields.count(beast::http::field::expect) > 0 && !expects_continue(fields)) {
        return failure::expectation_unsupported;
    }
    return std::nullopt;
}

bool expects_continue(const fields_type& fields)
{
    return has_field_value(fields, "Expect", "100-continue");
}

std::optional<core::duration> parse_deadline(const fields_type& fields, core::duration default_timeout,
                                             core::duration max_timeout, const message_profile& profile)
{
    const std::size_t count = fields.count(profile.deadline_field);
    if (count == 0) {
        return std::min(default_timeout, max_timeout);
    }
    const beast::string_view text = fields[profile.deadline_field];
    std::int64_t milliseconds = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const bool is_whole_text = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (parsed.ec == std::errc::result_out_of_range && text.front() != '-' && count == 1) {
        return max_timeout;
    }
    if (count > 1 || !is_whole_text || milliseconds <= 0) {
        return std::nullopt;
    }
    if (milliseconds >= core::to_milliseconds(max_timeout)) {
        return max_timeout;
    }
    return std::chrono::milliseconds(milliseconds);
}

void remove_hop_by_hop_fields(fields_type& fields)
{
    // The names are copied: erasing a field that Connection names must not invalidate the field list that is
    // being iterated over, and Connection can name itself.
    std::vector<std::string> connection_options;
    const std::pair<fields_type::const_iterator, fields_type::const_iterator> connection =
        fields.equal_range(beast::http::field::connection);
    for (fields_type::const_iterator entry = connection.first; entry != connection.second; ++entry) {
        for (const beast::string_view token : beast::http::token_list(entry->value())) {
            if (!beast::iequals(token, "close") && !beast::iequals(token, "keep-alive")) {
                connection_options.emplace_back(token);
            }
        }
    }
    for (const std::string& name : connection_options) {
        fields.erase(name);
    }
    for (const std::string_view name : hop_by_hop_fields) {
        fields.erase(name);
    }
}

void prepare_upstream_request(fields_type& fields, std::string_view request_id, core::duration remaining,
                              const message_profile& profile)
{
    // Host is restored if the Connection field named it: an upstream would reject a request without Host.
    const std::string host(fields[beast::http::field::host]);
    remove_hop_by_hop_fields(fields);
    remove_control_fields(fields, profile.control_prefix);
    for (const std::string* profile_field :
         {&profile.key_field, &profile.workspace_field, &profile.expected_endpoint_field}) {
        if (!profile_field->empty()) {
            fields.erase(*profile_field);
        }
    }
    fields.erase(beast::http::field::proxy_authorization);
    fields.erase(beast::http::field::expect);
    fields.erase(beast::http::field::content_length);
    if (!host.empty()) {
        fields.set(beast::http::field::host, host);
    }
    fields.set(profile.request_id_field, request_id);
    const std::int64_t milliseconds = std::max<std::int64_t>(core::to_milliseconds(remaining), 1);
    fields.set(profile.deadline_field, std::to_string(milliseconds));
}

void prepare_caller_response(fields_type& fields, std::string_view request_id, const message_profile& profile)
{
    // Content-Length and the signature are restored if the Connection field named them: one frames the body,
    // and without the other the caller does not accept the response.
    const std::string length(fields[beast::http::field::content_length]);
    const std::string signature(fields[profile.signature_field]);
    remove_hop_by_hop_fields(fields);
    remove_control_fields(fields, profile.control_prefix);
    if (!length.empty()) {
        fields.set(beast::http::field::content_length, length);
    }
    if (!signature.empty() && fields.count(profile.signature_field) == 0) {
        fields.set(profile.signature_field, signature);
    }
    for (const std::string* profile_field : {&profile.leaving_field, &profile.rate_limit_field}) {
        if (!profile_field->empty()) {
            fields.erase(*profile_field);
        }
    }
    fields.set(profile.request_id_field, request_id);
}

bool is_shed_response(unsigned status, const fields_type& fields, const message_profile& profile)
{
    if (!profile.not_run_field.empty()) {
        return fields.count(profile.not_run_field) > 0;
    }
    return status == 503 && fields.count(profile.outcome_field) == 1 &&
           has_field_value(fields, profile.outcome_field, outcome_names.name(outcome::not_run));
}

bool is_drain_response(unsigned status, const fields_type& fields, const message_profile& profile)
{
    if (!profile.leaving_field.empty() && has_field_value(fields, profile.leaving_field, "1")) {
        return true;
    }
    return !profile.reason_field.empty() && is_shed_response(status, fields, profile) &&
           has_field_value(fields, profile.reason_field, "draining");
}

std::optional<core::duration> find_upstream_wait(unsigned status, const fields_type& fields,
                                                 const message_profile& profile)
{
    constexpr unsigned service_unavailable = 503;
    if (!profile.has_upstream_retry_after || status != service_unavailable ||
        fields.count(beast::http::field::retry_after) != 1) {
        return std::nullopt;
    }
    const std::optional<double> seconds = parse_decimal(fields[beast::http::field::retry_after]);
    if (!seconds || *seconds <= 0) {
        return std::nullopt;
    }
    if (*seconds >= core::to_seconds(max_upstream_wait)) {
        return max_upstream_wait;
    }
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(*seconds));
}

std::optional<double> find_upstream_rate_limit(const fields_type& fields, const message_profile& profile)
{
    const std::size_t count = profile.rate_limit_field.empty() ? 0 : fields.count(profile.rate_limit_field);
    if (count == 0) {
        return std::numeric_limits<double>::infinity();
    }
    const std::optional<double> rate =
        count == 1 ? parse_decimal(fields[profile.rate_limit_field]) : std::nullopt;
    return rate && *rate >= 0 ? rate : std::nullopt;
}

std::string_view find_cookie(const fields_type& fields, std::string_view name)
{
    const std::pair<fields_type::const_iterator, fields_type::const_iterator> cookies =
        fields.equal_range(beast::http::field::cookie);
    for (fields_type::const_iterator entry = cookies.first; entry != cookies.second; ++entry) {
        std::string_view rest(entry->value().data(), entry->value().size());
        while (!rest.empty()) {
            const std::size_t end = std::min(rest.find(';'), rest.size());
            const std::string_view pair = trim(rest.substr(0, end));
            rest.remove_prefix(std::min(end + 1, rest.size()));
            if (pair.size() > name.size() && pair.substr(0, name.size()) == name &&
                pair[name.size()] == '=') {
                return pair.substr(name.size() + 1);
            }
        }
    }
    return {};
}

} // namespace quetzalspan::dispatch
