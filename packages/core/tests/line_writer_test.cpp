// Tests the line writer against a pipe whose reader keeps up or stops.

#include "core/line_writer.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <csignal>
#include <string>
#include <thread>

#include <unistd.h>

using namespace quetzalspan;

TEST_GROUP(line_writer)
{
    std::array<int, 2> pipe_ends{};

    void setup() override
    {
        CHECK_EQUAL(0, ::pipe(pipe_ends.data()));
    }

    void teardown() override
    {
        ::close(pipe_ends[0]);
        ::close(pipe_ends[1]);
    }

    // Reads from the pipe until the text read ends with the given text, or the pipe ends.
    std::string read_until(const std::string& end)
    {
        std::string text;
        std::array<char, 4096> part{};
        while (text.size() < end.size() || text.compare(text.size() - end.size(), end.size(), end) != 0) {
            const ssize_t size = ::read(pipe_ends[0], part.data(), part.size());
            if (size <= 0) {
                break;
            }
            text.append(part.data(), static_cast<std::size_t>(size));
        }
        return text;
    }
};

// Guards against lines that are lost or reordered although the reader keeps up.
TEST(line_writer, lines_arrive_in_order)
{
    core::line_writer writer(pipe_ends[1]);
    std::string expected;
    for (int index = 0; index < 500; ++index) {
        const std::string line = "event=test number=" + std::to_string(index) + "\n";
        expected += line;
        writer.write(line);
    }
    CHECK_EQUAL(expected, read_until("number=499\n"));
    CHECK_EQUAL(0U, writer.dropped_lines());
}

// Guards against a process that blocks because its output is not read, and against dropping lines without a
// report.
TEST(line_writer, a_stopped_reader_does_not_block_and_dropped_lines_are_reported)
{
    constexpr std::size_t buffer_limit_bytes = 32 * 1024;
    core::line_writer writer(pipe_ends[1], buffer_limit_bytes);
    const std::string line(999, 'x');
    // 2 MB are far more than the pipe and the buffer of the writer hold, so a blocking writer would never
    // return.
    for (int index = 0; index < 2000; ++index) {
        writer.write(line + "\n");
    }
    CHECK(writer.dropped_lines() > 0);
    std::string text;
    while (text.find("log_lines_dropped") == std::string::npos) {
        text += read_until("\n");
        writer.write("event=after\n");
    }
    CHECK(text.find("event=log_lines_dropped count=") != std::string::npos);
}

// Guards against a logging cost that grows with the number of lines: under overload an instance writes
// thousands of lines a second, and a wake-up and a write for each of them took the time of its requests.
TEST(line_writer, lines_of_a_burst_are_written_together)
{
    core::line_writer writer(pipe_ends[1]);
    const std::string line(99, 'x');
    constexpr int line_count = 200;
    for (int index = 0; index < line_count; ++index) {
        writer.write(line + "\n");
    }
    writer.write("event=last\n");
    read_until("event=last\n");
    CHECK(writer.write_calls() <= line_count / 10);
}

// Guards against a background thread that takes a whole core after the reader has gone.
TEST(line_writer, a_closed_reader_is_not_tried_without_pause)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::array<int, 2> closed_pipe{};
    CHECK_EQUAL(0, ::pipe(closed_pipe.data()));
    ::close(closed_pipe[0]);
    {
        core::line_writer writer(closed_pipe[1]);
        writer.write("event=lost\n");
        std::this_thread::sleep_for(4 * core::line_writer::collect_time);
        CHECK(writer.write_calls() <= 5);
    }
    ::close(closed_pipe[1]);
    std::signal(SIGPIPE, SIG_DFL);
}
