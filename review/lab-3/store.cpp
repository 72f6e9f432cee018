// The calls of the store, after the users' page on the platform's metadata store.

#include "store.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace lab
{

namespace
{

constexpr std::string_view base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t page_items = 500;

std::string encode_base64(const std::string& bytes)
{
    std::string result;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::array<unsigned, 3> group{};
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t part = 0; part < count; ++part) {
            group[part] = static_cast<unsigned char>(bytes[index + part]);
        }
        const unsigned bits = group[0] << 16U | group[1] << 8U | group[2];
        result += base64_digits[bits >> 18U & 63U];
        result += base64_digits[bits >> 12U & 63U];
        result += count > 1 ? base64_digits[bits >> 6U & 63U] : '=';
        result += count > 2 ? base64_digits[bits & 63U] : '=';
    }
    return result;
}

std::string decode_base64(const std::string& text)
{
    std::string result;
    unsigned bits = 0;
    unsigned count = 0;
    for (const char digit : text) {
        const std::size_t value = base64_digits.find(digit);
        if (value == std::string_view::npos) {
            break;
        }
        bits = bits << 6U | static_cast<unsigned>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            result += static_cast<char>(bits >> count & 255U);
        }
    }
    return result;
}

std::string to_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value parse(const std::string& text)
{
    Json::Value result;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &result, nullptr);
    return result;
}

} // namespace

store::store(const std::string& host, std::uint16_t port)
    : m_listener(std::make_unique<listener>(host, port, [this](connection& client) { serve(client); }))
{
    m_expiry = std::thread([this] {
        while (!m_is_stopped) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            expire_leases();
        }
    });
}

store::~store()
{
    m_is_stopped = true;
    m_changed.notify_all();
    m_expiry.join();
    m_listener.reset();
}

void store::serve(connection& client)
{
    const std::uint64_t generation = m_generation;
    while (const std::optional<message> request = client.read_message()) {
        if (generation != m_generation) {
            // What is sent on a silent connection does not arrive.
            continue;
        }
        const std::string text = answer(*request);
        if (generation != m_generation) {
            continue;
        }
        if (text.empty() || !client.write_all(text)) {
            return;
        }
    }
}

std::string store::respond(int status, const Json::Value& body) const
{
    return make_response(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, to_text(body));
}

std::string store::answer(const message& request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/kv-watch") {
        return watch(request.target);
    }
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (path == "/kv-range") {
        return range(request.target);
    }
    if (path == "/kv-key") {
        return read_key(request.target);
    }
    if (path == "/kv-txn") {
        return transact(parse(request.body));
    }
    if (path == "/kv-lease") {
        return grant_lease(parse(request.body));
    }
    const std::uint64_t id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    if (path.starts_with("/kv-keep/")) {
        return keep_lease(id);
    }
    if (path.starts_with("/kv-lease-end/")) {
        return end_lease(id);
    }
    return respond(404, Json::Value(Json::objectValue));
}

Json::Value store::to_json(const std::string& key, const item& entry)
{
    Json::Value result;
    result["key"] = key;
    result["value"] = encode_base64(entry.value);
    result["revision"] = Json::UInt64(entry.revision);
    result["createdAt"] = Json::UInt64(entry.created);
    result["lease"] = Json::UInt64(entry.lease);
    return result;
}

std::string store::range(const std::string& target)
{
    const std::string prefix = query_parameter(target, "prefix");
    const std::string after = query_parameter(target, "after");
    Json::Value body;
    body["items"] = Json::Value(Json::arrayValue);
    body["hasMore"] = false;
    body["at"] = Json::UInt64(m_content.revision);
    for (const auto& [key, entry] : m_content.items) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (body["items"].size() == page_items) {
            body["hasMore"] = true;
            break;
        }
        body["items"].append(to_json(key, entry));
    }
    return respond(200, body);
}

std::string store::read_key(const std::string& target)
{
    const std::map<std::string, item>::const_iterator found =
        m_content.items.find(query_parameter(target, "key"));
    if (found == m_content.items.end()) {
        return respond(404, Json::Value(Json::objectValue));
    }
    Json::Value body = to_json(found->first, found->second);
    body["at"] = Json::UInt64(m_content.revision);
    return respond(200, body);
}

std::string store::watch(const std::string& target)
{
    const std::string prefix = query_parameter(target, "prefix");
    const std::uint64_t after = std::strtoull(query_parameter(target, "after").c_str(), nullptr, 10);
    const int wait_ms = std::atoi(query_parameter(target, "waitMs").c_str());
    const instant end = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        if (m_is_stopped) {
            return {};
        }
        if (after < m_history_begins || after > m_content.revision) {
            return respond(410, Json::Value(Json::objectValue));
        }
        Json::Value body;
        body["events"] = Json::Value(Json::arrayValue);
        for (const change& entry : m_changes) {
            if (entry.revision <= after || !entry.key.starts_with(prefix)) {
                continue;
            }
            Json::Value event;
            if (entry.written) {
                event = to_json(entry.key, *entry.written);
            } else {
                event["key"] = entry.key;
                event["revision"] = Json::UInt64(entry.revision);
                event["tombstone"] = true;
            }
            body["events"].append(event);
        }
        if (!body["events"].empty() || std::chrono::steady_clock::now() >= end) {
            body["at"] = Json::UInt64(m_content.revision);
            return respond(200, body);
        }
        m_changed.wait_until(lock, end);
    }
}

std::string store::transact(const Json::Value& body)
{
    bool holds = true;
    Json::Value current(Json::arrayValue);
    for (const Json::Value& row : body["expected"]) {
        const std::string key = row["key"].asString();
        const std::map<std::string, item>::const_iterator found = m_content.items.find(key);
        const std::uint64_t revision = found == m_content.items.end() ? 0 : found->second.revision;
        holds = holds && revision == row["revision"].asUInt64();
        if (found != m_content.items.end()) {
            current.append(to_json(key, found->second));
        }
    }
    if (!holds) {
        Json::Value refused;
        refused["items"] = current;
        return respond(412, refused);
    }
    for (const Json::Value& put : body["puts"]) {
        const std::uint64_t id = put["lease"].asUInt64();
        if (id != 0 && !m_content.leases.contains(id)) {
            return respond(404, Json::Value(Json::objectValue));
        }
    }
    for (const Json::Value& put : body["puts"]) {
        write(put["key"].asString(), decode_base64(put["value"].asString()), put["lease"].asUInt64());
    }
    for (const Json::Value& key : body["remove"]) {
        erase(key.asString());
    }
    Json::Value done;
    done["revision"] = Json::UInt64(m_content.revision);
    return respond(200, done);
}

std::string store::grant_lease(const Json::Value& body)
{
    const std::chrono::milliseconds lifetime(body["ttlMs"].asInt64());
    const std::uint64_t id = m_content.next_lease++;
    m_content.leases[id] = {lifetime, std::chrono::steady_clock::now() + lifetime};
    Json::Value granted;
    granted["lease"] = Json::UInt64(id);
    granted["ttlMs"] = body["ttlMs"];
    return respond(200, granted);
}

std::string store::keep_lease(std::uint64_t id)
{
    const std::map<std::uint64_t, lease>::iterator found = m_content.leases.find(id);
    if (found == m_content.leases.end()) {
        return respond(404, Json::Value(Json::objectValue));
    }
    found->second.ends = std::chrono::steady_clock::now() + found->second.lifetime;
    Json::Value kept;
    kept["ttlMs"] = Json::Int64(found->second.lifetime.count());
    return respond(200, kept);
}

std::string store::end_lease(std::uint64_t id)
{
    if (!m_content.leases.contains(id)) {
        return respond(404, Json::Value(Json::objectValue));
    }
    drop_lease(id);
    return respond(200, Json::Value(Json::objectValue));
}

void store::drop_lease(std::uint64_t id)
{
    m_content.leases.erase(id);
    std::set<std::string> keys;
    for (const auto& [key, entry] : m_content.items) {
        if (entry.lease == id) {
            keys.insert(key);
        }
    }
    for (const std::string& key : keys) {
        erase(key);
    }
}

void store::expire_leases()
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::set<std::uint64_t> ended;
    for (const auto& [id, entry] : m_content.leases) {
        if (entry.ends <= std::chrono::steady_clock::now()) {
            ended.insert(id);
        }
    }
    for (const std::uint64_t id : ended) {
        drop_lease(id);
    }
}

void store::write(const std::string& key, const std::string& value, std::uint64_t lease_id)
{
    item& entry = m_content.items[key];
    entry.revision = ++m_content.revision;
    entry.created = entry.created == 0 ? entry.revision : entry.created;
    entry.value = value;
    entry.lease = lease_id;
    m_changes.push_back({key, entry.revision, entry});
    m_changed.notify_all();
}

void store::erase(const std::string& key)
{
    if (m_content.items.erase(key) > 0) {
        m_changes.push_back({key, ++m_content.revision, std::nullopt});
        m_changed.notify_all();
    }
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    write(key, value, 0);
}

void store::remove(const std::string& key)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    erase(key);
}

std::optional<std::string> store::get(const std::string& key)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::map<std::string, item>::const_iterator found = m_content.items.find(key);
    return found == m_content.items.end() ? std::nullopt : std::optional<std::string>(found->second.value);
}

void store::silence_open_connections()
{
    ++m_generation;
}

} // namespace lab
