// A small deployment on loopback addresses for a scenario: instances as separate processes, endpoints, and
// the record of what was sent, answered and run.

#pragma once

#include "http_channel.h"
#include "store_standin.h"

#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review
{

// Writes lines with the time since the start of the scenario. Thread-safe.
class recorder
{
public:
    explicit recorder(const std::string& path);

    void write(const std::string& line);
    // Seconds since the start of the scenario.
    double now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    instant m_start;
};

// Serves each request with a signed response and records that it ran. Runs until the process ends.
class endpoint_standin
{
public:
    // The endpoint works on each request for the given time.
    endpoint_standin(std::string id, const std::string& host, std::chrono::milliseconds work_time,
                     recorder& record);

    const std::string& id() const { return m_id; }
    // Returns the entry that the endpoint writes into the store.
    std::string entry(const std::string& service, const std::string& zone) const;
    // Returns the identifiers of the requests that have run, and when they arrived, in seconds of the
    // recorder.
    std::map<std::string, double> runs() const;

private:
    void serve_channels();
    void serve_channel(http_channel channel);
    std::string respond(const http_message& request);

    std::string m_id;
    std::string m_host;
    std::chrono::milliseconds m_work_time;
    recorder& m_record;
    http_listener m_listener;
    std::int64_t m_born = 0;
    mutable std::mutex m_mutex;
    std::map<std::string, double> m_runs;
};

// One instance of the deploy file, a separate process with a settings file of its own. Not thread-safe.
class instance_process
{
public:
    instance_process(std::string name, std::string address, std::string zone, std::string folder,
                     std::string store);
    ~instance_process();

    instance_process(const instance_process&) = delete;
    instance_process& operator=(const instance_process&) = delete;

    void start();
    void terminate() const;
    // Waits until the process has ended; kills it after the time.
    void await_end(std::chrono::milliseconds limit);
    // Asks for its readiness until it is ready. Returns whether it was within the time.
    bool await_ready(std::chrono::milliseconds limit) const;

    const std::string& name() const { return m_name; }
    const std::string& address() const { return m_address; }

private:
    std::string m_name;
    std::string m_address;
    std::string m_folder;
    pid_t m_process = -1;
};

// Returns a loopback address that no other process uses now, different for each index.
std::string loopback_address(unsigned index);

// Returns a request identifier for a number.
std::string make_request_id(std::uint64_t number);

// Returns the text of a request to the route of make_configuration().
std::string make_request(const std::string& id, const std::string& key);

// Returns a configuration with one safe route to the service huvo11a and one tenant, kaje80, whose limit is
// 95 requests a second and a burst of 95. The keys are quoted and separated by commas.
std::string make_configuration(const std::string& version, const std::string& keys);

// Sends a request on a new channel and records it. Returns the status of the answer, or 0 if there is none.
unsigned send_request(recorder& record, const std::string& address, const std::string& id,
                      const std::string& key);

} // namespace review
