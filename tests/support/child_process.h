// Child processes of a test: starting a program, stopping it with signals and reading its log.

#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace quetzalspan::tests
{

// One started program. The destructor kills it if it is still running.
class child_process
{
public:
    // Starts the program, given by its path. Standard output and standard error are appended to the log file.
    // The child gets this process's environment with the given NAME=VALUE entries in front of it. Throws
    // std::system_error if the program cannot be started.
    static child_process start(const std::string& program, const std::vector<std::string>& arguments,
                               const std::string& log_file, const std::vector<std::string>& environment = {});

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    // Requests a graceful shutdown (SIGTERM) and returns at once. Does nothing if the process has ended.
    void terminate();
    // Kills the process (SIGKILL) and waits until it has ended. Does nothing if it has ended already.
    void kill();
    // Suspends the process (SIGSTOP); its sockets stay open.
    void freeze();
    // Lets a suspended process continue (SIGCONT).
    void resume();

    // Blocks until the process has ended. Returns its exit code, or 128 + the number of the signal that ended
    // it.
    int wait();
    // Returns the exit code as wait() does, or std::nullopt while the process is running.
    std::optional<int> poll();
    bool is_running() { return !poll().has_value(); }

    pid_t id() const { return m_id; }
    const std::string& log_file() const { return m_log_file; }
    // Returns what the process has written so far; empty if the file cannot be read.
    std::string log() const;

private:
    child_process(pid_t id, std::string log_file) : m_id(id), m_log_file(std::move(log_file)) {}

    // -1 in an object that was moved from.
    pid_t m_id = -1;
    // Set once the process has been reaped: its id may then belong to another process.
    std::optional<int> m_exit_code;
    std::string m_log_file;
};

} // namespace quetzalspan::tests
