// Tests log events, findings, hashes, digests and the read-copy-update cell.

#include "core/digest.h"
#include "core/findings.h"
#include "core/log_event.h"
#include "core/rcu_cell.h"
#include "core/stable_hash.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace quetzalspan;

TEST_GROUP(core){};

// Guards against a value with a newline or an equals sign that forges another pair or line in the log.
TEST(core, log_values_are_quoted_and_escaped)
{
    core::debug_event event("request");
    event.with("path", "/a\nevent=forged").with("status", 200);
    STRCMP_EQUAL("event=request path=\"/a\\x0aevent=forged\" status=200", event.line().c_str());
}

// Guards against findings that are lost after the first, reordered or reported at the wrong place, and
// against warnings that count as errors.
TEST(core, findings_keep_their_order_and_place)
{
    core::findings found;
    found.add_warning({"register.yaml", 3, 7}, "unused region");
    CHECK_FALSE(found.has_errors());
    found.add_error({"register.yaml", 9, 1}, "unknown region");
    CHECK_TRUE(found.has_errors());
    STRCMP_EQUAL("register.yaml:3:7: warning: unused region\nregister.yaml:9:1: error: unknown region\n",
                 found.to_text().c_str());
}

// Guards against a change of the hash function, since instances of different versions would then compute
// different results during an upgrade.
TEST(core, stable_hash_does_not_change)
{
    CHECK_TRUE(core::stable_hash("") == 0x2d06800538d394c2ULL);
}

// Guards against a digest that differs from the published test vector for "abc".
TEST(core, sha256_matches_the_published_vector)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
                 core::sha256_hex("abc").c_str());
}

// Guards against a reader that sees a destroyed or partly constructed value while a writer publishes new
// ones.
TEST(core, rcu_readers_see_consistent_values)
{
    struct pair {
        long first = 0;
        long second = 0;
    };
    core::rcu_cell<pair> cell(std::make_unique<const pair>());
    std::atomic<bool> is_done{false};
    std::atomic<long> inconsistent_reads{0};
    std::vector<std::thread> readers;
    for (int index = 0; index < 3; ++index) {
        readers.emplace_back([&] {
            while (!is_done.load()) {
                const core::rcu_read_section section;
                const pair& value = cell.read(section);
                if (value.first != value.second) {
                    ++inconsistent_reads;
                }
            }
        });
    }
    for (long round = 1; round <= 200; ++round) {
        cell.publish(std::make_unique<const pair>(pair{round, round}));
    }
    is_done = true;
    for (std::thread& reader : readers) {
        reader.join();
    }
    LONGS_EQUAL(0, inconsistent_reads.load());
}
