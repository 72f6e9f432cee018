// An in-memory store for tests. Writes fail with the faults that the test queued.

#pragma once

#include "operator/configuration_store.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace quetzalspan::admin
{

enum class write_fault {
    none,
    // The write takes effect; the caller gets an unknown outcome.
    response_lost,
    // The write takes no effect; the caller gets an unknown outcome.
    request_lost,
    // The write takes no effect and throws store_error.
    refused,
};

class fake_store
{
public:
    // Faults of the next writes, in order. Later writes have no fault.
    std::deque<write_fault> write_faults;
    // Number of the next reads that throw store_error.
    int failing_reads = 0;
    // Called once, before the next write takes effect and before the next read.
    std::function<void()> before_write;
    std::function<void()> before_read;

    std::optional<stored_configuration> current;
    int writes = 0;

    void put(const std::string& text) { current = stored_configuration{text, ++m_revision}; }

    configuration_store hooks()
    {
        return {[this] { return read(); },
                [this](const std::string& text, std::uint64_t expected) { return write(text, expected); }};
    }

private:
    static void run_once(std::function<void()>& action)
    {
        if (action) {
            const std::function<void()> taken = std::move(action);
            action = nullptr;
            taken();
        }
    }

    std::optional<stored_configuration> read()
    {
        run_once(before_read);
        if (failing_reads > 0) {
            --failing_reads;
            throw store_error("the store does not answer");
        }
        return current;
    }

    write_outcome write(const std::string& text, std::uint64_t expected)
    {
        ++writes;
        run_once(before_write);
        write_fault fault = write_fault::none;
        if (!write_faults.empty()) {
            fault = write_faults.front();
            write_faults.pop_front();
        }
        if (fault == write_fault::refused) {
            throw store_error("connection refused");
        }
        if (fault == write_fault::request_lost) {
            return write_outcome::unknown;
        }
        if (expected != (current ? current->store_revision : 0)) {
            return fault == write_fault::none ? write_outcome::conflict : write_outcome::unknown;
        }
        put(text);
        return fault == write_fault::none ? write_outcome::applied : write_outcome::unknown;
    }

    std::uint64_t m_revision = 0;
};

} // namespace quetzalspan::admin
