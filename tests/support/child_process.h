// Starts the programs of this repository for process tests and controls them by process id.

#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::tests
{

// One started program. It is killed when the object ends, if it still runs.
class child_process
{
public:
    // Starts the program with its output going to the log file. The settings of the form NAME=VALUE are added
    // to its environment. Throws std::system_error if it cannot start.
    static child_process start(const std::string& program, const std::vector<std::string>& arguments,
                               const std::string& log_file, const std::vector<std::string>& environment = {});

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    // Asks for a graceful shutdown (SIGTERM).
    void terminate();
    // Kills at once (SIGKILL) and waits for the end.
    void kill();
    // Stops (SIGSTOP) and resumes (SIGCONT) the process.
    void freeze();
    void resume();

    // Waits for the end and returns the exit code, or 128 + the signal that ended it.
    int wait();
    // Returns the exit code if the process has ended.
    std::optional<int> poll();
    bool is_running() { return !poll().has_value(); }

    pid_t id() const { return m_id; }
    const std::string& log_file() const { return m_log_file; }
    std::string log() const;

private:
    child_process(pid_t id, std::string log_file) : m_id(id), m_log_file(std::move(log_file)) {}

    pid_t m_id = -1;
    std::optional<int> m_exit_code;
    std::string m_log_file;
};

// Returns that many TCP ports that were free on the loopback address a moment ago, all different.
std::vector<std::uint16_t> find_free_ports(std::size_t count);

} // namespace quetzalspan::tests
