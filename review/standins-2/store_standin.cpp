// The calls, watches, leases and drills of the stand-in for the store.

#include "store_standin.h"

#include <array>
#include <memory>
#include <sstream>
#include <thread>

namespace review
{

namespace
{

constexpr std::chrono::milliseconds lease_check_interval(50);
constexpr std::chrono::hours idle_limit(1);
constexpr std::string_view base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode_base64(const std::string& bytes)
{
    std::string result;
    for (std::size_t begin = 0; begin < bytes.size(); begin += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - begin);
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8U;
            group |= index < count ? static_cast<unsigned char>(bytes[begin + index]) : 0U;
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            result += digit <= count ? base64_digits[(group >> (18 - 6 * digit)) & 63U] : '=';
        }
    }
    return result;
}

std::string decode_base64(const std::string& text)
{
    std::string result;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char digit : text) {
        const std::size_t value = base64_digits.find(digit);
        if (value == std::string_view::npos) {
            break;
        }
        group = (group << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += static_cast<char>((group >> bits) & 0xffU);
        }
    }
    return result;
}

std::string decode_parameter(const std::string& text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> result;
    const std::size_t mark = target.find('?');
    std::istringstream parts(mark == std::string::npos ? std::string() : target.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos) {
            result[part.substr(0, equals)] = decode_parameter(part.substr(equals + 1));
        }
    }
    return result;
}

Json::Value parse_json(const std::string& text)
{
    Json::Value result;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &result, nullptr);
    return result;
}

std::string to_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value to_json(const std::string& key, const store_item& item)
{
    Json::Value value;
    value["key"] = key;
    value["value"] = encode_base64(item.value);
    value["revision"] = Json::UInt64(item.revision);
    value["createdAt"] = Json::UInt64(item.created);
    value["lease"] = Json::UInt64(item.lease);
    return value;
}

bool begins_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

store_standin::store_standin(const std::string& host) : m_listener(host)
{
    std::thread([this] { serve_channels(); }).detach();
    std::thread([this] { expire_leases(); }).detach();
}

void store_standin::put(const std::string& key, const std::string& value)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    write(key, value, 0);
}

store_contents store_standin::copy() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_contents;
}

void store_standin::go_away()
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_is_away = true;
    m_changed.notify_all();
}

void store_standin::return_from(const store_contents& contents)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_contents = contents;
    for (std::pair<const std::uint64_t, store_lease>& entry : m_contents.leases) {
        entry.second.ends = std::chrono::steady_clock::now() + entry.second.lifetime;
    }
    ++m_era;
    m_is_away = false;
    m_changed.notify_all();
}

void store_standin::serve_channels()
{
    while (true) {
        const std::shared_ptr<http_channel> accepted = std::make_shared<http_channel>(m_listener.accept());
        std::thread([this, accepted] { serve_channel(std::move(*accepted)); }).detach();
    }
}

void store_standin::serve_channel(http_channel channel)
{
    while (true) {
        const std::optional<http_message> call = channel.read(std::chrono::steady_clock::now() + idle_limit);
        const std::optional<reply> answer = call ? handle(*call) : std::nullopt;
        if (!answer) {
            return;
        }
        std::uint64_t era = 0;
        {
            const std::lock_guard<std::mutex> guard(m_mutex);
            era = m_era;
        }
        const std::string body = to_text(answer->body);
        const std::string text =
            "HTTP/1.1 " + std::to_string(answer->status) +
            " Answer\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era) +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (!channel.write(text)) {
            return;
        }
    }
}

void store_standin::expire_leases()
{
    while (true) {
        std::this_thread::sleep_for(lease_check_interval);
        const std::lock_guard<std::mutex> guard(m_mutex);
        const instant now = std::chrono::steady_clock::now();
        std::vector<std::uint64_t> ended;
        for (std::pair<const std::uint64_t, store_lease>& entry : m_contents.leases) {
            // Leases pause while the store is away.
            entry.second.ends += m_is_away ? lease_check_interval : std::chrono::milliseconds(0);
            if (now >= entry.second.ends) {
                ended.push_back(entry.first);
            }
        }
        for (const std::uint64_t id : ended) {
            remove_lease(id);
        }
    }
}

std::optional<store_standin::reply> store_standin::handle(const http_message& call)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_is_away) {
        return std::nullopt;
    }
    const std::string target = call.word(1);
    const std::string path = target.substr(0, target.find('?'));
    const std::map<std::string, std::string> parameters = parse_query(target);
    const std::string keep_path = "/kv-keep/";
    const std::string end_path = "/kv-lease-end/";
    if (path == "/kv-range") {
        return list(parameters);
    }
    if (path == "/kv-watch") {
        return watch(parameters, lock);
    }
    if (path == "/kv-txn") {
        return transact(parse_json(call.body));
    }
    if (path == "/kv-lease") {
        return create_lease(parse_json(call.body));
    }
    if (begins_with(path, keep_path)) {
        return renew_lease(std::stoull(path.substr(keep_path.size())));
    }
    if (begins_with(path, end_path)) {
        return end_lease(std::stoull(path.substr(end_path.size())));
    }
    return reply{404, Json::Value(Json::objectValue)};
}

store_standin::reply store_standin::list(const std::map<std::string, std::string>& parameters) const
{
    constexpr unsigned page_size = 500;
    const std::string prefix = parameters.count("prefix") > 0 ? parameters.at("prefix") : std::string();
    const std::string after = parameters.count("after") > 0 ? parameters.at("after") : std::string();
    reply result;
    result.body["items"] = Json::Value(Json::arrayValue);
    result.body["hasMore"] = false;
    result.body["at"] = Json::UInt64(m_contents.revision);
    for (const std::pair<const std::string, store_item>& entry : m_contents.items) {
        if (!begins_with(entry.first, prefix) || entry.first <= after) {
            continue;
        }
        if (result.body["items"].size() == page_size) {
            result.body["hasMore"] = true;
            break;
        }
        result.body["items"].append(to_json(entry.first, entry.second));
    }
    return result;
}

std::optional<store_standin::reply> store_standin::watch(const std::map<std::string, std::string>& parameters,
                                                         std::unique_lock<std::mutex>& lock)
{
    const std::string prefix = parameters.at("prefix");
    const std::uint64_t after = std::stoull(parameters.at("after"));
    const instant end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(parameters.at("waitMs")));
    while (true) {
        if (m_is_away) {
            return std::nullopt;
        }
        if (after > m_contents.revision) {
            return reply{410, Json::Value(Json::objectValue)};
        }
        reply result;
        result.body["events"] = Json::Value(Json::arrayValue);
        result.body["at"] = Json::UInt64(m_contents.revision);
        for (const store_event& event : m_contents.events) {
            if (event.revision <= after || !begins_with(event.key, prefix)) {
                continue;
            }
            Json::Value value;
            if (event.written) {
                value = to_json(event.key, *event.written);
            } else {
                value["key"] = event.key;
                value["revision"] = Json::UInt64(event.revision);
                value["tombstone"] = true;
            }
            result.body["events"].append(value);
        }
        if (!result.body["events"].empty() || std::chrono::steady_clock::now() >= end) {
            return result;
        }
        m_changed.wait_until(lock, end);
    }
}

store_standin::reply store_standin::transact(const Json::Value& body)
{
    reply result;
    for (const Json::Value& row : body["expected"]) {
        const std::map<std::string, store_item>::const_iterator found =
            m_contents.items.find(row["key"].asString());
        const std::uint64_t revision = found == m_contents.items.end() ? 0 : found->second.revision;
        if (revision != row["revision"].asUInt64()) {
            result.status = 412;
        }
        if (found != m_contents.items.end()) {
            result.body["items"].append(to_json(found->first, found->second));
        }
    }
    if (result.status != 200) {
        return result;
    }
    for (const Json::Value& row : body["puts"]) {
        const std::uint64_t lease = row["lease"].asUInt64();
        if (lease != 0 && m_contents.leases.count(lease) == 0) {
            return {404, Json::Value(Json::objectValue)};
        }
    }
    for (const Json::Value& row : body["puts"]) {
        write(row["key"].asString(), decode_base64(row["value"].asString()), row["lease"].asUInt64());
    }
    for (const Json::Value& key : body["remove"]) {
        remove(key.asString());
    }
    result.body = Json::Value(Json::objectValue);
    result.body["revision"] = Json::UInt64(m_contents.revision);
    return result;
}

store_standin::reply store_standin::create_lease(const Json::Value& body)
{
    const std::chrono::milliseconds lifetime(body["ttlMs"].asInt64());
    const std::uint64_t id = m_next_lease++;
    m_contents.leases[id] = {lifetime, std::chrono::steady_clock::now() + lifetime};
    reply result;
    result.body["lease"] = Json::UInt64(id);
    result.body["ttlMs"] = Json::Int64(lifetime.count());
    return result;
}

store_standin::reply store_standin::renew_lease(std::uint64_t id)
{
    const std::map<std::uint64_t, store_lease>::iterator found = m_contents.leases.find(id);
    if (found == m_contents.leases.end()) {
        return {404, Json::Value(Json::objectValue)};
    }
    found->second.ends = std::chrono::steady_clock::now() + found->second.lifetime;
    reply result;
    result.body["ttlMs"] = Json::Int64(found->second.lifetime.count());
    return result;
}

store_standin::reply store_standin::end_lease(std::uint64_t id)
{
    const unsigned status = m_contents.leases.count(id) > 0 ? 200 : 404;
    remove_lease(id);
    return {status, Json::Value(Json::objectValue)};
}

void store_standin::write(const std::string& key, const std::string& value, std::uint64_t lease)
{
    store_item& item = m_contents.items[key];
    item.value = value;
    item.revision = ++m_contents.revision;
    item.created = item.created == 0 ? item.revision : item.created;
    item.lease = lease;
    m_contents.events.push_back({key, item.revision, item});
    m_changed.notify_all();
}

void store_standin::remove(const std::string& key)
{
    if (m_contents.items.erase(key) > 0) {
        m_contents.events.push_back({key, ++m_contents.revision, std::nullopt});
        m_changed.notify_all();
    }
}

void store_standin::remove_lease(std::uint64_t id)
{
    m_contents.leases.erase(id);
    std::vector<std::string> keys;
    for (const std::pair<const std::string, store_item>& entry : m_contents.items) {
        if (entry.second.lease == id) {
            keys.push_back(entry.first);
        }
    }
    for (const std::string& key : keys) {
        remove(key);
    }
}

} // namespace review
