// Spawns test programs with posix_spawn, sends them signals and collects their exit codes.

#include "tests/support/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

extern char** environ;

namespace quetzalspan::tests
{

namespace
{

// Shells report a process that was ended by a signal with this offset.
constexpr int signal_exit_base = 128;

int to_exit_code(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
}

// Builds the null-terminated array that posix_spawn expects. It points into the given strings.
std::vector<char*> to_null_terminated_pointers(std::vector<std::string>& texts)
{
    std::vector<char*> result;
    for (std::string& text : texts) {
        result.push_back(text.data());
    }
    result.push_back(nullptr);
    return result;
}

} // namespace

child_process child_process::start(const std::string& program, const std::vector<std::string>& arguments,
                                   const std::string& log_file, const std::vector<std::string>& environment)
{
    std::vector<std::string> argument_texts{program};
    argument_texts.insert(argument_texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> argument_pointers = to_null_terminated_pointers(argument_texts);
    std::vector<std::string> environment_texts(environment);
    for (char** variable = environ; *variable != nullptr; ++variable) {
        environment_texts.emplace_back(*variable);
    }
    std::vector<char*> environment_pointers = to_null_terminated_pointers(environment_texts);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t log_mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // An inherited socket would stay open in the child after this process has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t id = -1;
    const int error = posix_spawn(&id, program.c_str(), &actions, nullptr, argument_pointers.data(),
                                  environment_pointers.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), "cannot start " + program);
    }
    return {id, log_file};
}

child_process::child_process(child_process&& other) noexcept
    : m_id(std::exchange(other.m_id, -1)),
      m_exit_code(other.m_exit_code),
      m_log_file(std::move(other.m_log_file))
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this != &other) {
        kill();
        m_id = std::exchange(other.m_id, -1);
        m_exit_code = other.m_exit_code;
        m_log_file = std::move(other.m_log_file);
    }
    return *this;
}

child_process::~child_process()
{
    kill();
}

void child_process::terminate()
{
    if (is_running()) {
        ::kill(m_id, SIGTERM);
    }
}

void child_process::kill()
{
    if (m_id < 0 || m_exit_code) {
        return;
    }
    ::kill(m_id, SIGKILL);
    wait();
}

void child_process::freeze()
{
    ::kill(m_id, SIGSTOP);
}

void child_process::resume()
{
    ::kill(m_id, SIGCONT);
}

int child_process::wait()
{
    if (!m_exit_code) {
        int status = 0;
        while (waitpid(m_id, &status, 0) < 0 && errno == EINTR) {
        }
        m_exit_code = to_exit_code(status);
    }
    return *m_exit_code;
}

std::optional<int> child_process::poll()
{
    if (m_id < 0) {
        return 0;
    }
    int status = 0;
    if (!m_exit_code && waitpid(m_id, &status, WNOHANG) == m_id) {
        m_exit_code = to_exit_code(status);
    }
    return m_exit_code;
}

std::string child_process::log() const
{
    std::ifstream file(m_log_file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace quetzalspan::tests
