// Asks the relay of the region up to when it knows all changes of the store, so that an instance whose copy
// has the same revision need not call the store.

#pragma once

#include "core/boot_clock.h"
#include "core/log_throttle.h"
#include "edge/instance_record.h"
#include "edge/peer_message.h"
#include "edge/pending_answers.h"
#include "store/prefix_mirror.h"

#include <functional>
#include <optional>
#include <string>

namespace quetzalspan::edge
{

// Runs on the given executor, which must be single-threaded or a strand.
class confirmation_client
{
public:
    struct hooks {
        // Returns the relay, or no value if there is none or this instance is it.
        std::function<std::optional<instance_record>()> relay;
        // Sends a message. Returns whether it was handed to the network.
        std::function<bool(const instance_record& target, const std::string& text)> send;
    };

    confirmation_client(const boost::asio::any_io_executor& executor, std::string own_instance,
                        hooks callbacks);

    confirmation_client(const confirmation_client&) = delete;
    confirmation_client& operator=(const confirmation_client&) = delete;

    // Returns the answer of the relay. The time in it is counted back from when the question was sent, so
    // that a delay of the answer can only make it earlier. Returns no value if there is no relay, if it does
    // not answer in time or if its knowledge is old; then it is not asked again for a while.
    boost::asio::awaitable<std::optional<store::peer_confirmation>> ask();

    void handle_answer(const confirmation_message& answer) { m_pending.handle(answer); }

private:
    void skip_relay(const instance_record& relay, const char* cause);

    std::string m_own_instance;
    hooks m_hooks;
    pending_answers<confirmation_message> m_pending;
    // The relay is not asked before this time.
    core::boot_instant m_skipped_until;
    core::log_throttle m_skip_lines;
};

} // namespace quetzalspan::edge
