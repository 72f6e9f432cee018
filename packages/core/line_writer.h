// Writes lines to a file descriptor, such as a pipe, in a background thread, so that a slow reader of the
// pipe does not block the callers. Lines are collected for a short time and written together, because waking
// the thread and writing cost more than a line does. Lines that exceed a buffer limit are dropped; their
// number is written to the descriptor once there is room in the buffer again.

#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace quetzalspan::core
{

// Thread-safe.
class line_writer
{
public:
    // Most bytes that are buffered while the reader is slow.
    static constexpr std::size_t default_buffer_limit_bytes = 512 * 1024;
    // The longest time that a line waits for others before it is written.
    static constexpr std::chrono::milliseconds collect_time{50};
    // Lines of this size together are written without waiting for more.
    static constexpr std::size_t collect_limit_bytes = 32 * 1024;

    // The descriptor is not closed by the writer and must stay open as long as the writer exists.
    explicit line_writer(int descriptor, std::size_t buffer_limit_bytes = default_buffer_limit_bytes);

    // Tries to write the buffered lines for about 300 ms while the reader takes nothing, then discards the
    // rest.
    ~line_writer();

    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;

    // Appends a line, which must end in a newline, to the buffer, or drops it if it would exceed the limit.
    // Never blocks on the reader.
    void write(std::string_view line);

    // Returns the number of lines dropped so far.
    std::uint64_t dropped_lines() const { return m_dropped_lines.load(std::memory_order_relaxed); }

    // Returns the number of write calls to the descriptor so far.
    std::uint64_t write_calls() const { return m_write_calls.load(std::memory_order_relaxed); }

private:
    void run();
    // Writes the beginning of the text. Returns the number of bytes written; 0 if the descriptor does not
    // become writable within the poll timeout, or on an error.
    std::size_t write_some(std::string_view text);

    int m_descriptor;
    std::size_t m_buffer_limit_bytes;
    std::mutex m_mutex;
    std::condition_variable m_wakeup;
    // Guarded by m_mutex, like the two members below.
    std::string m_pending;
    bool m_is_stopping = false;
    // Lines dropped since the last log_lines_dropped line.
    std::uint64_t m_unreported_drops = 0;
    std::atomic<std::uint64_t> m_dropped_lines{0};
    std::atomic<std::uint64_t> m_write_calls{0};
    std::thread m_thread;
};

} // namespace quetzalspan::core
