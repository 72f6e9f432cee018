// Tests of questions to the relay of a region that answers, answers late, or knows nothing recent.

#include "edge/confirmation_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace edge;
using std::chrono::milliseconds;

TEST_GROUP(confirmation_client)
{
    boost::asio::io_context context;
    std::optional<instance_record> relay = instance_record{};
    // The answer of the relay; without a value it does not answer.
    std::optional<confirmation_message> answer;
    // The number that the answer repeats instead of the question's.
    std::optional<std::uint64_t> answered_number;
    int question_count = 0;
    confirmation_client client{context.get_executor(), "own", make_hooks()};

    confirmation_client::hooks make_hooks()
    {
        confirmation_client::hooks hooks;
        hooks.relay = [this] { return relay; };
        hooks.send = [this](const instance_record&, const std::string& text) {
            ++question_count;
            if (answer) {
                confirmation_message sent = *answer;
                sent.number = answered_number.value_or(
                    std::get<confirmation_request_message>(parse_peer_message(text, "test")).number);
                boost::asio::post(context, [this, sent] { client.handle_answer(sent); });
            }
            return true;
        };
        return hooks;
    }

    std::optional<store::peer_confirmation> ask()
    {
        std::future<std::optional<store::peer_confirmation>> result =
            boost::asio::co_spawn(context, client.ask(), boost::asio::use_future);
        context.restart();
        context.run();
        return result.get();
    }
};

// Guards against a confirmation that counts from when the answer arrived: an answer that a full link delays
// would keep a revoked key valid for longer.
TEST(confirmation_client, the_age_is_counted_back_from_the_question)
{
    answer = confirmation_message{0, 0, 17, milliseconds(300)};
    const core::boot_instant before = core::boot_clock::now();
    const std::optional<store::peer_confirmation> found = ask();
    CHECK_TRUE(found.has_value());
    CHECK_EQUAL(17U, found->revision);
    CHECK(found->as_of >= before - milliseconds(300));
    CHECK(found->as_of <= core::boot_clock::now() - milliseconds(300));
}

// Guards against an answer that cannot be read, and a warning for each question, once a relay has lost the
// store for longer than the range of the field.
TEST(confirmation_client, an_age_beyond_the_range_of_the_message_is_bounded)
{
    const peer_message read =
        parse_peer_message(to_text(confirmation_message{3, 0, 17, std::chrono::hours(50)}), "test");
    CHECK(std::get<confirmation_message>(read).age >= std::chrono::seconds(60));
    CHECK_EQUAL(17U, std::get<confirmation_message>(read).revision);
    const peer_message short_age =
        parse_peer_message(to_text(confirmation_message{3, 0, 17, std::chrono::microseconds(500)}), "test");
    CHECK(std::get<confirmation_message>(short_age).age == milliseconds(1));
}

// Guards against an instance that follows a relay which has lost the store.
TEST(confirmation_client, old_knowledge_is_not_used_and_the_relay_is_skipped)
{
    answer = confirmation_message{0, 0, 17, milliseconds(5000)};
    CHECK_FALSE(ask().has_value());
    CHECK_FALSE(ask().has_value());
    CHECK_EQUAL(1, question_count);
}

// Guards against waiting for a relay that has ended, time after time.
TEST(confirmation_client, a_relay_that_does_not_answer_is_skipped_for_a_while)
{
    CHECK_FALSE(ask().has_value());
    CHECK_FALSE(ask().has_value());
    CHECK_EQUAL(1, question_count);
    relay.reset();
    CHECK_FALSE(ask().has_value());
}

// Guards against taking the answer to a question that this instance asked before its restart, when its
// questions had the same numbers: an old answer would confirm a configuration that has been replaced since.
TEST(confirmation_client, an_answer_to_the_former_process_is_not_taken)
{
    answer = confirmation_message{0, 0, 17, milliseconds(300)};
    answered_number = 0;
    CHECK_FALSE(ask().has_value());
}
