// Endpoints, instances and clients of a small deployment.

#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <stdexcept>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab
{

namespace
{

constexpr std::chrono::milliseconds heartbeat_interval(1500);
constexpr std::uint16_t front_port = 8668;
constexpr std::uint16_t ready_port = 8666;

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string header_of(const message& from, const std::string& name)
{
    const header_map::const_iterator found = from.headers.find(name);
    return found == from.headers.end() ? std::string() : found->second;
}

std::string settings_of(const instance::options& given)
{
    const std::string at = given.host;
    std::string text =
        "self.nodeName=" + given.name +
        "\nself.role=edge\nself.machineClass=front\nself.serves=front,directory\nself.ip=" + at +
        "\nself.zone=" + given.zone + "\nself.region=" + given.region +
        "\nself.bootstrap=false\nself.limits.memoryMb=260\nself.limits.maxFds=4100\n"
        "network.listen.front=" +
        at + ":8668\nnetwork.listen.ready=" + at + ":8666\nnetwork.listen.directory=" + at +
        ":8665\nnetwork.internalPortRange=7220,7235\nplatform.discovery=platform\n"
        "platform.entry=directory\nplatform.heartbeatIntervalMs=1500\n"
        "platform.platform.address=" +
        given.store_host +
        ":8669\nplatform.platform.form=kv\nplatform.platform.writesPerS=400\n"
        "platform.platform.readsPerS=2000\nplatform.platform.historyS=20\n"
        "platform.platform.maxValueBytes=1048576\nplatform.platform.minTtlMs=1000\n";
    for (const auto& [zone, region] : given.zones) {
        text += "network.zones." + zone + "=" + region + "\n";
    }
    for (const char* bound :
         {"seedLagS=3",           "reuseAfterS=2",       "stableWindowMs=3000",   "ackTimeoutMs=4000",
          "catchUpS=4",           "drainTimeoutMs=2000", "lossSlackMs=200",       "configApplyMs=2000",
          "rollbackSlackMs=250",  "maxStretchMs=5000",   "strictRevocation=true", "revokeTimeoutMs=5000",
          "retryBudgetRatio=0.2", "budgetWindowS=10",    "retryBudgetSlack=56",   "quotaWindowS=5",
          "quotaOverage=0.1",     "quotaSlack=20",       "coldOverage=1.5",       "coldSlack=5",
          "evacuationMs=5000",    "recoveryS=15",        "ttl_max_s=5",           "maxShift=0.15"}) {
        text += "terms.bounds." + std::string(bound) + "\n";
    }
    return text + "terms.bounds.gracePeriodS=" + std::to_string(given.grace_seconds) + "\n";
}

} // namespace

void record::line(const std::string& text)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_file << now() << " ms  " << text << std::endl;
}

std::int64_t record::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start)
        .count();
}

endpoint::endpoint(options given, store& registry, record& log)
    : m_options(std::move(given)),
      m_registry(registry),
      m_record(log),
      m_born(unix_milliseconds()),
      m_listener(m_options.host, m_options.port, [this](connection& client) { serve(client); })
{
    beat();
    m_beats = std::thread([this] {
        instant next = std::chrono::steady_clock::now() + heartbeat_interval;
        while (!m_is_stopped) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            if (!m_is_leaving && std::chrono::steady_clock::now() >= next) {
                beat();
                next += heartbeat_interval;
            }
        }
    });
}

endpoint::~endpoint()
{
    m_is_stopped = true;
    m_beats.join();
}

void endpoint::set_handler(override_handler handler)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_handler = std::move(handler);
}

void endpoint::beat()
{
    const std::string sequence = std::to_string(m_sequence++);
    if (m_registry.get("servers/" + m_options.id)) {
        // The entry changes when more than the sequence changes.
        return;
    }
    m_registry.put("servers/" + m_options.id,
                   R"({"address":")" + m_options.host + ":" + std::to_string(m_options.port) +
                       R"(","born":)" + std::to_string(m_born) + R"(,"info":{"service":")" +
                       m_options.service + R"(","version":"v1","zone":")" + m_options.zone + R"(","slots":)" +
                       std::to_string(m_options.slots) + R"(},"status":{"state":"ready","sequence":)" +
                       sequence + R"(,"coldRemainingMs":0}})");
}

void endpoint::leave()
{
    m_is_leaving = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    m_registry.remove("servers/" + m_options.id);
}

std::vector<run> endpoint::runs()
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_runs;
}

void endpoint::add_run(const message& request)
{
    const run done{header_of(request, "quetzalspan-request-id"), m_options.id, request.target,
                   header_of(request, "quetzalspan-tenant-id"), m_record.now()};
    m_record.line("run " + done.id + " at " + done.endpoint + " tenant " + done.tenant + " " +
                  request.method + " " + done.target);
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_runs.push_back(done);
}

std::string endpoint::answer_to(const message& request, int status, const std::string& body)
{
    return make_response(
        status,
        {{"Quetzalspan-Request-Id", header_of(request, "quetzalspan-request-id")},
         {"Quetzalspan-Server-Signature", "signed-" + header_of(request, "quetzalspan-request-id")}},
        body);
}

void endpoint::serve(connection& client)
{
    while (const std::optional<message> request = client.read_message()) {
        if (request->target == "/health") {
            client.write_all(make_response(200, {{"Quetzalspan-Instance-Id", m_options.id}}, ""));
            continue;
        }
        const std::string expected = header_of(*request, "quetzalspan-expect-instance");
        if (!expected.empty() && expected != m_options.id) {
            client.write_all(
                make_response(421,
                              {{"Quetzalspan-Instance-Id", m_options.id},
                               {"Quetzalspan-Request-Id", header_of(*request, "quetzalspan-request-id")}},
                              ""));
            continue;
        }
        add_run(*request);
        override_handler handler;
        {
            const std::lock_guard<std::mutex> guard(m_mutex);
            handler = m_handler;
        }
        if (handler) {
            handler(client, *request);
            if (client.socket() < 0) {
                return;
            }
            continue;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(m_options.work_ms));
        if (!client.write_all(answer_to(*request, 200, "done by " + m_options.id))) {
            return;
        }
    }
}

instance::instance(options given) : m_options(std::move(given)) {}

instance::~instance()
{
    kill();
}

void instance::start()
{
    const std::string settings = m_options.folder + "/" + m_options.name + ".conf";
    const std::string output = m_options.folder + "/" + m_options.name + ".log";
    std::ofstream(settings) << settings_of(m_options);
    const std::string variable = "QUETZALSPAN_SETTINGS=" + settings;
    m_process = ::fork();
    if (m_process == 0) {
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        std::string program = "target/quetzald";
        std::string argument = "--deployment=platform";
        std::string environment = variable;
        char* const arguments[] = {program.data(), argument.data(), nullptr};
        char* const variables[] = {environment.data(), nullptr};
        ::execve(program.c_str(), arguments, variables);
        ::_exit(127);
    }
    if (m_process < 0) {
        throw std::runtime_error("cannot start an instance");
    }
}

void instance::kill()
{
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = -1;
    }
}

void instance::send_signal(int signal) const
{
    if (m_process > 0) {
        ::kill(m_process, signal);
    }
}

bool instance::has_ended()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = -1;
    }
    return m_process < 0;
}

bool instance::is_ready() const
{
    const int socket = connect_to(m_options.host, ready_port);
    if (socket < 0) {
        return false;
    }
    connection asked(socket);
    asked.set_read_timeout(1000);
    asked.write_all("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::optional<message> answered = asked.read_message();
    return answered && answered->status == 200;
}

bool instance::wait_ready(int seconds) const
{
    const instant end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (std::chrono::steady_clock::now() < end) {
        if (is_ready()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

std::string to_text(const request& sent)
{
    std::string text = sent.method + " " + sent.target + " HTTP/1.1\r\nHost: " + sent.host +
                       "\r\nQuetzalspan-Request-Id: " + sent.id +
                       "\r\nQuetzalspan-Request-Deadline-Ms: " + std::to_string(sent.deadline_ms) + "\r\n";
    if (!sent.key.empty()) {
        text += "Api-Key: " + sent.key + "\r\n";
    }
    if (sent.method != "GET") {
        text += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n";
    }
    return text + "\r\n" + sent.body;
}

answer call(const std::string& host, const request& sent, int timeout_ms)
{
    const int socket = connect_to(host, front_port);
    if (socket < 0) {
        return {};
    }
    connection client(socket);
    client.set_read_timeout(timeout_ms);
    if (!client.write_all(to_text(sent))) {
        return {};
    }
    const std::optional<message> received = client.read_message();
    return received ? answer{received->status, received->headers, received->body} : answer{};
}

std::string loopback_network()
{
    const unsigned process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(1 + process % 250);
}

} // namespace lab
