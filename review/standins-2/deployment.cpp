// Instances as processes, endpoints and requests of a scenario.

#include "deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::uint16_t caller_port = 8668;
constexpr std::uint16_t readiness_port = 8666;
constexpr std::chrono::milliseconds poll_interval(20);
constexpr std::chrono::milliseconds request_time(2000);
constexpr std::chrono::hours idle_limit(1);

// The bounds are those of the small deployments.
constexpr const char* common_settings = R"(self.role=edge
self.machineClass=front
self.serves=front,directory
self.includeInTolerance=true
self.bootstrap=true
self.limits.cpuShare=0.2
self.limits.cores=1
self.limits.memoryMb=260
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.limits.diskMb=0
network.internalPortRange=7220,7235
network.zones.uus-a=uusimaa
network.zones.savo-a=savo
network.zones.pohj-a=pohjanmaa
network.zones.uus-b=uusimaa
network.zones.savo-b=savo
network.zones.pohj-b=pohjanmaa
platform.discovery=platform
platform.entry=directory
platform.heartbeatIntervalMs=1500
platform.platform.form=kv
platform.platform.writesPerS=400
platform.platform.readsPerS=2000
platform.platform.historyS=20
platform.platform.maxValueBytes=1048576
platform.platform.minTtlMs=1000
terms.bounds.reuseAfterS=2
terms.bounds.stableWindowMs=3000
terms.bounds.drainTimeoutMs=2000
terms.bounds.gracePeriodS=6
terms.bounds.lossSlackMs=200
terms.bounds.configApplyMs=2000
terms.bounds.rollbackSlackMs=250
terms.bounds.strictRevocation=true
terms.bounds.revokeTimeoutMs=5000
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetWindowS=10
terms.bounds.retryBudgetSlack=56
terms.bounds.quotaWindowS=5
terms.bounds.quotaOverage=0.1
terms.bounds.quotaSlack=20
terms.bounds.coldOverage=1.5
terms.bounds.coldSlack=5
terms.bounds.evacuationMs=5000
terms.bounds.ttl_max_s=5
terms.bounds.maxShift=0.15
)";

std::string find_region(const std::string& zone)
{
    const std::string place = zone.substr(0, zone.find('-'));
    return place == "uus" ? "uusimaa" : place == "savo" ? "savo" : "pohjanmaa";
}

} // namespace

recorder::recorder(const std::string& path) : m_file(path), m_start(std::chrono::steady_clock::now()) {}

double recorder::now() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count();
}

void recorder::write(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f s  ", now());
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_file << time << line << std::endl;
}

endpoint_standin::endpoint_standin(std::string id, const std::string& host,
                                   std::chrono::milliseconds work_time, recorder& record)
    : m_id(std::move(id)), m_host(host), m_work_time(work_time), m_record(record), m_listener(host)
{
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    std::thread([this] { serve_channels(); }).detach();
}

std::string endpoint_standin::entry(const std::string& service, const std::string& zone) const
{
    std::ostringstream text;
    text << R"({"address":")" << m_host << ":" << m_listener.port() << R"(","born":)" << m_born
         << R"(,"info":{"service":")" << service << R"(","version":"v1","zone":")" << zone
         << R"(","slots":3},"status":{"state":"ready","sequence":1,"coldRemainingMs":0}})";
    return text.str();
}

std::map<std::string, double> endpoint_standin::runs() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_runs;
}

void endpoint_standin::serve_channels()
{
    while (true) {
        const std::shared_ptr<http_channel> accepted = std::make_shared<http_channel>(m_listener.accept());
        std::thread([this, accepted] { serve_channel(std::move(*accepted)); }).detach();
    }
}

void endpoint_standin::serve_channel(http_channel channel)
{
    while (true) {
        const std::optional<http_message> request =
            channel.read(std::chrono::steady_clock::now() + idle_limit);
        if (!request || !channel.write(respond(*request))) {
            return;
        }
    }
}

std::string endpoint_standin::respond(const http_message& request)
{
    const std::string id = request.field("quetzalspan-request-id");
    const std::string echo = "Quetzalspan-Request-Id: " + id + "\r\n";
    if (request.field("quetzalspan-expect-instance") != m_id) {
        return "HTTP/1.1 421 Misdirected Request\r\n" + echo + "Content-Length: 0\r\n\r\n";
    }
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_runs.emplace(id, m_record.now());
    }
    m_record.write("endpoint " + m_id + " runs " + id + " for tenant " +
                   request.field("quetzalspan-tenant-id"));
    std::this_thread::sleep_for(m_work_time);
    const std::string body = "answer to " + id;
    return "HTTP/1.1 200 OK\r\n" + echo + "Quetzalspan-Server-Signature: s." + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

instance_process::instance_process(std::string name, std::string address, std::string zone,
                                   std::string folder, std::string store)
    : m_name(std::move(name)), m_address(std::move(address)), m_folder(std::move(folder))
{
    std::ofstream settings(m_folder + "/" + m_name + ".conf");
    settings << "self.nodeName=" << m_name << "\nself.ip=" << m_address << "\nself.zone=" << zone
             << "\nself.region=" << find_region(zone) << "\nnetwork.listen.front=" << m_address
             << ":8668\nnetwork.listen.ready=" << m_address << ":8666\nnetwork.listen.control=" << m_address
             << ":8667\nnetwork.listen.directory=" << m_address
             << ":8665\nplatform.platform.address=" << store << "\n"
             << common_settings;
}

instance_process::~instance_process()
{
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

void instance_process::start()
{
    const std::string settings = "QUETZALSPAN_SETTINGS=" + m_folder + "/" + m_name + ".conf";
    const std::string log = m_folder + "/" + m_name + ".log";
    m_process = ::fork();
    if (m_process == 0) {
        // The instance must not outlive the scenario.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int descriptor = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(descriptor, STDOUT_FILENO);
        ::dup2(descriptor, STDERR_FILENO);
        std::string program = "target/quetzald";
        std::string argument = "--deployment=platform";
        std::string variable = settings;
        char* arguments[] = {program.data(), argument.data(), nullptr};
        char* environment[] = {variable.data(), nullptr};
        ::execve(program.c_str(), arguments, environment);
        ::_exit(127);
    }
    if (m_process < 0) {
        throw std::runtime_error("cannot start " + m_name);
    }
}

void instance_process::terminate() const
{
    ::kill(m_process, SIGTERM);
}

void instance_process::await_end(std::chrono::milliseconds limit)
{
    const instant end = std::chrono::steady_clock::now() + limit;
    while (::waitpid(m_process, nullptr, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() >= end) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
            break;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    m_process = -1;
}

bool instance_process::await_ready(std::chrono::milliseconds limit) const
{
    const instant end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        std::optional<http_channel> channel = http_channel::connect(m_address, readiness_port);
        if (channel && channel->write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            const std::optional<http_message> answer = channel->read(end);
            if (answer && answer->word(1) == "200") {
                return true;
            }
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

std::string loopback_address(unsigned index)
{
    const unsigned process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(1 + process % 250) + "." +
           std::to_string(10 + index);
}

std::string make_request_id(std::uint64_t number)
{
    constexpr std::size_t digits = 16;
    std::ostringstream text;
    text << std::hex << number;
    return std::string(digits - std::min(digits, text.str().size()), '0') + text.str();
}

std::string make_request(const std::string& id, const std::string& key)
{
    return "GET /browse/2f HTTP/1.1\r\nHost: ficu95.example\r\nQuetzalspan-Request-Id: " + id +
           "\r\nQuetzalspan-Request-Deadline-Ms: " + std::to_string(request_time.count()) +
           "\r\nCookie: Quetzalspan-Affinity-Key=" + id.substr(id.size() - 1) + "\r\nApi-Key: " + key +
           "\r\n\r\n";
}

std::string make_configuration(const std::string& version, const std::string& keys)
{
    return R"({"version":")" + version +
           R"(","routes":{"r-1":{"host":"ficu95.example","prefix":"/browse/","kind":"safe","timeoutMs":2000,)"
           R"("targetLatencyMs":250,"priority":2,"service":"huvo11a","maxAttempts":2,"public":false,)"
           R"("sessionAffinity":true,"homeRegions":[]}},"services":{"huvo11a":{"healthCheckPath":"/health",)"
           R"("maxConnections":330,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":4.8}},)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000},"tenants":{"kaje80":{"apiKeys":[)" +
           keys + R"(],"priority":1,"ratePerS":95,"burst":95,"homeRegions":[]}}})";
}

unsigned send_request(recorder& record, const std::string& address, const std::string& id,
                      const std::string& key)
{
    record.write("client sends " + id + " with " + key + " to " + address);
    unsigned status = 0;
    std::optional<http_channel> channel = http_channel::connect(address, caller_port);
    if (channel && channel->write(make_request(id, key))) {
        const std::optional<http_message> answer =
            channel->read(std::chrono::steady_clock::now() + request_time + std::chrono::seconds(1));
        status = answer ? static_cast<unsigned>(std::stoul(answer->word(1))) : 0;
    }
    record.write("client gets " + std::to_string(status) + " for " + id);
    return status;
}

} // namespace review
