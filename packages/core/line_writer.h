// Writes lines to a file descriptor from a thread of its own. A reader that stops reading holds up nothing
// else: lines beyond a limit are dropped, counted, and reported once there is room again.

#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace quetzalspan::core
{

class line_writer
{
public:
    // Keeps at most this many bytes for a reader that falls behind.
    static constexpr std::size_t default_limit_bytes = 512 * 1024;

    explicit line_writer(int descriptor, std::size_t limit_bytes = default_limit_bytes);

    // Writes what is left for a short while, then gives up.
    ~line_writer();

    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;

    // Queues a line that ends in a newline. Never blocks on the reader. Threads may call it at once.
    void write(std::string_view line);

    std::uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

private:
    void run();
    // Writes a part of the text. Returns the bytes written; 0 if the reader takes nothing now.
    std::size_t write_some(std::string_view text) const;

    int m_descriptor;
    std::size_t m_limit_bytes;
    std::mutex m_guard;
    std::condition_variable m_changed;
    // Guarded by m_guard.
    std::string m_pending;
    bool m_is_stopping = false;
    std::uint64_t m_unreported = 0;
    std::atomic<std::uint64_t> m_dropped{0};
    std::thread m_thread;
};

} // namespace quetzalspan::core
