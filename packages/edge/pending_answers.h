// Matches the answers of other instances to the questions that wait for them, with a timeout for each.

#pragma once

#include "core/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace quetzalspan::edge
{

// Answer is a message with the member `number`, which repeats the number of the question. Used on the given
// executor alone, which must be single-threaded or a strand.
template <typename Answer>
class pending_answers
{
public:
    explicit pending_answers(boost::asio::any_io_executor executor) : m_executor(std::move(executor)) {}

    pending_answers(const pending_answers&) = delete;
    pending_answers& operator=(const pending_answers&) = delete;

    // Returns the number of the next question. The numbers of a restarted process start elsewhere, so that an
    // answer to its predecessor finds no question.
    std::uint64_t take_number() { return m_next_number++; }

    // Waits for the answer to the question. Returns no value if there is none within the timeout.
    boost::asio::awaitable<std::optional<Answer>> wait(std::uint64_t number, core::duration timeout)
    {
        const std::shared_ptr<question> waiting =
            std::make_shared<question>(question{boost::asio::steady_timer(m_executor, timeout), {}});
        m_questions.emplace(number, waiting);
        boost::system::error_code ignored;
        co_await waiting->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        m_questions.erase(number);
        co_return waiting->answer;
    }

    // An answer that no question waits for, such as one that arrives after the timeout, is dropped.
    void handle(const Answer& answer)
    {
        const typename std::map<std::uint64_t, std::shared_ptr<question>>::const_iterator found =
            m_questions.find(answer.number);
        if (found != m_questions.end()) {
            found->second->answer = answer;
            found->second->timer.cancel();
        }
    }

private:
    struct question {
        boost::asio::steady_timer timer;
        std::optional<Answer> answer;
    };

    // Leaves room for the questions of one process between two starts. The sum stays within the 53 bits that
    // every reader of JSON keeps.
    static constexpr unsigned start_shift_bits = 20;

    static std::uint64_t random_start()
    {
        std::random_device source;
        return std::uint64_t{source()} << start_shift_bits;
    }

    boost::asio::any_io_executor m_executor;
    std::uint64_t m_next_number = random_start();
    // The questions that wait for an answer, by number.
    std::map<std::uint64_t, std::shared_ptr<question>> m_questions;
};

} // namespace quetzalspan::edge
