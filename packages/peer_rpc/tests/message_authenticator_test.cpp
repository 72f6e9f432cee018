// Tests the authentication of requests and replies and the detection of replays, with simulated time.

#include "peer_rpc/message_authenticator.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace peer_rpc;

TEST_GROUP(message_authenticator)
{
    const std::string secret = "a secret of sufficient length";
    const std::string nonce = "0123456789abcdef";
    const core::wall_time now{std::chrono::milliseconds(1'000'000'000)};
    message_authenticator sender{secret};
    message_authenticator receiver{secret};
    const std::string header = sender.sign_request(now, nonce, "a.1", "b.2", "body");

    authentication_verdict verdict(const std::optional<std::string>& value, const std::string& body = "body",
                                   core::duration age = {})
    {
        return receiver
            .verify_request(value, body, "b.2",
                            now + std::chrono::duration_cast<std::chrono::milliseconds>(age))
            .verdict;
    }

    static std::string replace(std::string text, const std::string& from, const std::string& to)
    {
        return text.replace(text.find(from), from.size(), to);
    }
};

// Guards against accepting an altered, replayed, outdated or forged request. The genuine request comes after
// the forged ones with the same nonce: rejecting a forged request must not store its nonce.
TEST(message_authenticator, invalid_or_forged_requests_are_rejected)
{
    const message_authenticator other("another secret of that length");
    const struct {
        const char* name;
        std::optional<std::string> header;
        std::string body;
        core::duration age;
        authentication_verdict expected;
    } cases[] = {
        {"no header", std::nullopt, "body", {}, authentication_verdict::malformed},
        {"empty header", "", "body", {}, authentication_verdict::malformed},
        {"missing field", header.substr(0, header.rfind(' ')), "body", {}, authentication_verdict::malformed},
        {"further field", header + " x", "body", {}, authentication_verdict::malformed},
        {"double space", replace(header, " ", "  "), "body", {}, authentication_verdict::malformed},
        {"other scheme", "2" + header.substr(1), "body", {}, authentication_verdict::malformed},
        {"short nonce", replace(header, nonce, "x"), "body", {}, authentication_verdict::malformed},
        {"huge header", header + std::string(5000, 'x'), "body", {}, authentication_verdict::malformed},
        {"time no number",
         replace(header, "1000000000", "soon"),
         "body",
         {},
         authentication_verdict::malformed},
        {"time out of range",
         replace(header, "1000000000", "9223372036854775807"),
         "body",
         {},
         authentication_verdict::malformed},
        {"altered body", header, "Body", {}, authentication_verdict::wrong_mac},
        {"longer body", header, "body ", {}, authentication_verdict::wrong_mac},
        {"altered time",
         replace(header, "1000000000", "1000000001"),
         "body",
         {},
         authentication_verdict::wrong_mac},
        {"altered nonce",
         replace(header, nonce, "1123456789abcdef"),
         "body",
         {},
         authentication_verdict::wrong_mac},
        {"altered sender", replace(header, "a.1", "a.2"), "body", {}, authentication_verdict::wrong_mac},
        {"altered receiver", replace(header, "b.2", "c.2"), "body", {}, authentication_verdict::wrong_mac},
        {"wrong secret",
         other.sign_request(now, nonce, "a.1", "b.2", "body"),
         "body",
         {},
         authentication_verdict::wrong_mac},
        {"for another member",
         sender.sign_request(now, nonce, "a.1", "c.3", "body"),
         "body",
         {},
         authentication_verdict::wrong_receiver},
        {"a reply as a request",
         sender.sign_reply(nonce, "a.1", "body"),
         "body",
         {},
         authentication_verdict::malformed},
        {"too old", header, "body", std::chrono::seconds(10), authentication_verdict::time_out_of_range},
        {"too far ahead", header, "body", -std::chrono::seconds(10),
         authentication_verdict::time_out_of_range},
        {"genuine", header, "body", std::chrono::seconds(9), authentication_verdict::accepted},
        {"replayed", header, "body", std::chrono::seconds(9), authentication_verdict::replayed},
        {"replayed before", header, "body", -std::chrono::seconds(9), authentication_verdict::replayed},
    };
    for (const auto& item : cases) {
        CHECK_TEXT(verdict(item.header, item.body, item.age) == item.expected, item.name);
    }
}

// Guards against accepting a replayed request because its nonce was discarded while the request was still
// valid. The requests arrive every 0.5 s over a whole generation of nonces, which lasts 20 s.
TEST(message_authenticator, a_request_is_accepted_only_once_within_its_validity)
{
    for (int step = 0; step <= 40; ++step) {
        const core::wall_time first = now + std::chrono::milliseconds(500 * step);
        const std::string signed_header = sender.sign_request(
            first + std::chrono::milliseconds(9'999), nonce + std::to_string(step), "a.1", "b.2", "body");
        CHECK_TRUE(receiver.verify_request(signed_header, "body", "b.2", first).verdict ==
                   authentication_verdict::accepted);
        for (int later = 0; later <= 20; ++later) {
            CHECK_TRUE(
                receiver.verify_request(signed_header, "body", "b.2", first + std::chrono::seconds(later))
                    .verdict != authentication_verdict::accepted);
        }
    }
}

// Guards against memory that grows with the number of requests, and against discarding nonces early when too
// many requests arrive.
TEST(message_authenticator, the_number_of_stored_nonces_is_bounded)
{
    replay_guard guard(std::chrono::seconds(20), 100);
    core::wall_time time = now;
    std::size_t rejected = 0;
    for (int index = 0; index < 1000; ++index) {
        time += std::chrono::milliseconds(100);
        rejected +=
            guard.check_and_insert(std::to_string(index), time) == nonce_verdict::limit_reached ? 1 : 0;
        CHECK_TRUE(guard.size() <= 200);
    }
    CHECK_TRUE(rejected >= 400);
    CHECK_TRUE(guard.check_and_insert("0", time + std::chrono::seconds(60)) == nonce_verdict::fresh);
    UNSIGNED_LONGS_EQUAL(1, guard.size());
}

// Guards against accepting a forged reply, or a reply to another request.
TEST(message_authenticator, forged_or_mismatched_replies_are_rejected)
{
    const message_authenticator other("another secret of that length");
    const std::string reply = receiver.sign_reply(nonce, "b.2", "result");
    const struct {
        const char* name;
        std::optional<std::string> header;
        std::string body;
        std::string nonce;
        std::string from;
        bool is_authentic;
    } cases[] = {
        {"genuine", reply, "result", nonce, "b.2", true},
        {"genuine, sender not known", reply, "result", nonce, "*", true},
        {"no header", std::nullopt, "result", nonce, "b.2", false},
        {"empty header", "", "result", nonce, "b.2", false},
        {"altered body", reply, "resulT", nonce, "b.2", false},
        {"to another request", reply, "result", "fedcba9876543210", "b.2", false},
        {"from another member", receiver.sign_reply(nonce, "c.3", "result"), "result", nonce, "b.2", false},
        {"altered sender", replace(reply, "b.2", "b.3"), "result", nonce, "*", false},
        {"wrong secret", other.sign_reply(nonce, "b.2", "result"), "result", nonce, "b.2", false},
        {"a request as a reply", header, "body", nonce, "a.1", false},
    };
    for (const auto& item : cases) {
        CHECK_TEXT(sender.is_authentic_reply(item.header, item.body, item.nonce, item.from) ==
                       item.is_authentic,
                   item.name);
    }
}

// Guards against a secret that is short enough to be guessed, and against ids with separators, which would
// shift the fields of the header.
TEST(message_authenticator, short_secrets_and_invalid_member_ids_throw)
{
    CHECK_THROWS(std::invalid_argument, message_authenticator("short"));
    CHECK_THROWS(std::invalid_argument, sender.sign_request(now, nonce, "a 1", "b.2", ""));
    CHECK_THROWS(std::invalid_argument, sender.sign_request(now, nonce, "a.1", "b\n2", ""));
    CHECK_THROWS(std::invalid_argument, sender.sign_request(now, nonce, "a.1", "", ""));
}
