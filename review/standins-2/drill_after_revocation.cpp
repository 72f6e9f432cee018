// A scenario: a key is taken away; later an instance is stopped and started, as the platform does it, while
// the store returns from an older copy in a drill. Usage: drill_after_revocation FOLDER RECORD yes|no, where
// the last argument says whether the drill takes place. Exits with 0 if no request with the key ran that was
// sent later than the bound, with 1 if one did, and with 2 if the scenario could not run.

#include "deployment.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <set>
#include <thread>

#include <unistd.h>

namespace
{

using std::chrono::milliseconds;

// terms.bounds.revokeTimeoutMs of the settings.
constexpr double revocation_bound_s = 5.0;
constexpr const char* kept_key = "b9wu3fexd9dnn2ctnfzs";
constexpr const char* revoked_key = "989anu6wsjnbanfqasnm";

std::string quote(const std::string& text)
{
    return "\"" + text + "\"";
}

class scenario
{
public:
    scenario(const std::string& folder, const std::string& record_path, bool has_drill)
        : m_record(record_path), m_store(review::loopback_address(9)), m_has_drill(has_drill)
    {
        const std::string store_address = review::loopback_address(9) + ":" + std::to_string(m_store.port());
        const char* const zones[] = {"uus-a", "uus-b", "savo-a"};
        for (unsigned index = 0; index < 3; ++index) {
            const std::string number = std::to_string(index + 1);
            m_endpoints.push_back(std::make_unique<review::endpoint_standin>(
                "i-7f3a91c" + number, review::loopback_address(10 + index), milliseconds(0), m_record));
            m_instances.push_back(std::make_unique<review::instance_process>(
                "front-" + number, review::loopback_address(index), zones[index], folder, store_address));
            m_store.put("servers/" + m_endpoints.back()->id(),
                        m_endpoints.back()->entry("huvo11a", zones[index]));
        }
    }

    int run()
    {
        m_store.put("op/config",
                    review::make_configuration("r7", quote(kept_key) + "," + quote(revoked_key)));
        for (const std::unique_ptr<review::instance_process>& entry : m_instances) {
            entry->start();
        }
        for (const std::unique_ptr<review::instance_process>& entry : m_instances) {
            if (!entry->await_ready(milliseconds(10'000))) {
                m_record.write(entry->name() + " did not become ready");
                return 2;
            }
        }
        pause(milliseconds(2000));
        if (!sends_both_keys()) {
            return 2;
        }
        pause(milliseconds(1000));
        const review::store_contents copy = m_store.copy();
        pause(milliseconds(1000));
        const std::string newer = review::make_configuration("r12", quote(kept_key));
        m_store.put("op/config", newer);
        m_revoked_at = m_record.now();
        m_record.write("operator: the store acknowledges r12, which takes the key away");
        stop_and_start_first(copy);
        // The operator writes again what the store has lost.
        send_for(milliseconds(1000));
        m_store.put("op/config", newer);
        m_record.write("operator: the store acknowledges r12 again");
        send_for(milliseconds(3000));
        return judge();
    }

    // Kills what is still running.
    void end_instances() { m_instances.clear(); }

private:
    void pause(milliseconds time) { std::this_thread::sleep_for(time); }

    std::string next_id() { return review::make_request_id(++m_requests); }

    bool sends_both_keys()
    {
        bool is_served = true;
        for (const std::unique_ptr<review::instance_process>& entry : m_instances) {
            for (const char* key : {kept_key, revoked_key}) {
                is_served =
                    review::send_request(m_record, entry->address(), next_id(), key) == 200 && is_served;
            }
        }
        return is_served;
    }

    // The platform stops the first instance and starts it again. In the drill the store is away meanwhile.
    void stop_and_start_first(const review::store_contents& copy)
    {
        review::instance_process& first = *m_instances.front();
        m_record.write("platform: SIGTERM to " + first.name());
        first.terminate();
        pause(milliseconds(4500));
        if (m_has_drill) {
            m_record.write("store: away");
            m_store.go_away();
        }
        first.await_end(milliseconds(6000 - 4500));
        m_record.write("platform: " + first.name() + " has ended");
        pause(milliseconds(300));
        first.start();
        m_record.write("platform: " + first.name() + " started again");
        pause(milliseconds(300));
        if (m_has_drill) {
            m_store.return_from(copy);
            m_record.write("store: back from a copy that was made before the key was taken away");
        }
    }

    // Sends requests with the revoked key to all instances in turn.
    void send_for(milliseconds time)
    {
        const review::instant end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            for (const std::unique_ptr<review::instance_process>& entry : m_instances) {
                const std::string id = next_id();
                if (m_record.now() > m_revoked_at + revocation_bound_s) {
                    m_late.insert(id);
                }
                review::send_request(m_record, entry->address(), id, revoked_key);
            }
            pause(milliseconds(50));
        }
    }

    int judge()
    {
        std::size_t run = 0;
        for (const std::unique_ptr<review::endpoint_standin>& entry : m_endpoints) {
            for (const std::pair<const std::string, double>& ran : entry->runs()) {
                run += m_late.count(ran.first);
            }
        }
        m_record.write("requests with the key that were sent later than the bound: " +
                       std::to_string(m_late.size()) + "; of these have run: " + std::to_string(run));
        if (m_late.empty()) {
            return 2;
        }
        return run > 0 ? 1 : 0;
    }

    review::recorder m_record;
    review::store_standin m_store;
    bool m_has_drill;
    std::vector<std::unique_ptr<review::endpoint_standin>> m_endpoints;
    std::vector<std::unique_ptr<review::instance_process>> m_instances;
    double m_revoked_at = 0;
    std::uint64_t m_requests = 0;
    std::set<std::string> m_late;
};

int run_scenario(const char* folder, const char* record, bool has_drill)
{
    // The stand-ins run until the process ends, so only the instances are ended before.
    static scenario* const running = new scenario(folder, record, has_drill);
    const int code = running->run();
    running->end_instances();
    return code;
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count != 4) {
        std::cerr << "usage: drill_after_revocation FOLDER RECORD yes|no\n";
        return 2;
    }
    try {
        const int code = run_scenario(arguments[1], arguments[2], std::string(arguments[3]) == "yes");
        std::cout.flush();
        ::_exit(code);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        ::_exit(2);
    }
}
