// Tests of the connection pool, the forwarder, the socket deadline and the probe against peers on the
// loopback interface.

#include "http/server.h"
#include "upstream/connection_pool.h"
#include "upstream/forwarder.h"
#include "upstream/probe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <future>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using upstream::forward_failure;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

TEST_GROUP(upstream)
{
    asio::io_context context;
    std::shared_ptr<upstream::connection_pool> pool;
    upstream::connection_pool_options options;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::vector<std::shared_ptr<tcp::socket>> peers;
    tcp::endpoint address;
    const core::instant start = std::chrono::steady_clock::now();

    void setup() override
    {
        acceptor =
            std::make_unique<tcp::acceptor>(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        address = acceptor->local_endpoint();
        pool = std::make_shared<upstream::connection_pool>(context.get_executor(), options);
    }

    void teardown() override
    {
        peers.clear();
        pool.reset();
        acceptor.reset();
    }

    // Runs the coroutine to its end and returns its result.
    template <typename Result>
    Result complete(asio::awaitable<Result> work)
    {
        std::future<Result> result = asio::co_spawn(context, std::move(work), asio::use_future);
        while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            context.run_one();
        }
        context.restart();
        return result.get();
    }

    // Adds a connected idle connection to the pool.
    void add_idle()
    {
        std::unique_ptr<upstream::connection> opened = pool->create_connection(address);
        CHECK(opened != nullptr);
        opened->socket().connect(address);
        opened->initialize(start);
        peers.push_back(std::make_shared<tcp::socket>(acceptor->accept()));
        pool->put_idle(address, std::move(opened), start);
    }

    // Sends one request, to which the peer responds with the text, and returns the failure of the exchange.
    std::optional<forward_failure> exchange_once(const std::string& response, bool is_peer_closing,
                                                 core::duration allowed = std::chrono::seconds(5))
    {
        const std::shared_ptr<upstream::socket_deadline> deadline =
            upstream::socket_deadline::create(context.get_executor());
        const std::function<asio::awaitable<std::optional<forward_failure>>()> work =
            [&]() -> asio::awaitable<std::optional<forward_failure>> {
            upstream::forwarder exchange(*pool, deadline);
            const core::instant now = std::chrono::steady_clock::now();
            std::optional<forward_failure> failed = co_await exchange.open(address, now + allowed, now);
            if (failed) {
                co_return failed;
            }
            const std::shared_ptr<tcp::socket> peer =
                exchange.is_reused() ? peers.back() : std::make_shared<tcp::socket>(acceptor->accept());
            peers.push_back(peer);
            const std::string text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
            upstream::write_buffers buffers;
            buffers.push_back(asio::buffer(text));
            failed = co_await exchange.write(buffers);
            CHECK_FALSE(failed.has_value());
            CHECK(exchange.has_written());
            asio::write(*peer, asio::buffer(response));
            if (is_peer_closing) {
                peer->shutdown(tcp::socket::shutdown_send);
            }
            failed = co_await exchange.read_header(false);
            bool is_end = failed.has_value();
            std::array<char, 64> memory{};
            while (!is_end) {
                const upstream::read_result part = co_await exchange.read_body(memory.data(), memory.size());
                is_end = part.is_end || part.status != upstream::read_status::complete;
                if (part.status != upstream::read_status::complete) {
                    failed = forward_failure::body_truncated;
                }
            }
            exchange.finish(true, now);
            co_return failed;
        };
        const std::optional<forward_failure> result = complete(work());
        deadline->stop();
        return result;
    }
};

// Guards against a request that is written to a connection that the peer has closed, or on which bytes were
// received that would be taken for the response.
TEST(upstream, connections_are_checked_before_reuse)
{
    add_idle();
    CHECK(pool->take_idle(address, start).handle != nullptr);
    add_idle();
    peers.back()->close();
    CHECK(pool->take_idle(address, start).handle == nullptr);
    add_idle();
    asio::write(*peers.back(), asio::buffer("HTTP/1.1 200 OK\r\n", 17));
    CHECK(pool->take_idle(address, start).handle == nullptr);
    add_idle();
    CHECK(pool->take_idle(address, start + options.idle_lifetime).handle == nullptr);
    // The connection that was taken is still counted.
    LONGS_EQUAL(1, pool->open_connections(address));
}

// Guards against an endpoint whose end goes unnoticed because a new connection replaces those that it has
// closed, and against taking the end of a long idle connection for the end of the endpoint.
TEST(upstream, a_connection_that_is_closed_early_is_reported)
{
    add_idle();
    peers.back()->close();
    CHECK_TRUE(pool->take_idle(address, start + std::chrono::seconds(1)).was_closed_early);
    add_idle();
    peers.back()->close();
    CHECK_FALSE(pool->take_idle(address, start + options.min_keep_alive).was_closed_early);
    add_idle();
    CHECK_FALSE(pool->take_idle(address, start + std::chrono::seconds(1)).was_closed_early);
}

// Guards against the loss of the only sign that an endpoint has ended, when the attempt that finds its
// connections closed may open none.
TEST(upstream, early_closed_connections_are_reported_also_if_none_may_be_opened)
{
    add_idle();
    peers.back()->close();
    bool is_reported = false;
    const std::function<bool()> may_reconnect = [&is_reported] {
        is_reported = true;
        return false;
    };
    upstream::forwarder exchange(*pool, upstream::socket_deadline::create(context.get_executor()));
    const upstream::connection_filter filter{{}, start};
    const std::optional<forward_failure> failed = complete(exchange.open(
        address, start + std::chrono::seconds(5), start + std::chrono::seconds(1), filter, may_reconnect));
    CHECK(failed == forward_failure::connection_not_allowed);
    CHECK_TRUE(is_reported);
}

// Guards against a check for an ended endpoint that uses up an idle connection.
TEST(upstream, a_working_idle_connection_is_found_and_stays_in_the_pool)
{
    CHECK_FALSE(pool->has_working_idle(address));
    add_idle();
    CHECK_TRUE(pool->has_working_idle(address));
    CHECK_TRUE(pool->has_idle(address, start));
    peers.back()->close();
    CHECK_FALSE(pool->has_working_idle(address));
}

// Guards against an attempt that may use only connections opened before a time and gets another one.
TEST(upstream, a_filter_by_time_leaves_newer_connections_in_the_pool)
{
    add_idle();
    CHECK_FALSE(pool->has_idle(address, start - std::chrono::milliseconds(1)));
    CHECK_TRUE(pool->has_idle(address, start));
    CHECK(pool->take_idle(address, start, {{}, start - std::chrono::milliseconds(1)}).handle == nullptr);
    CHECK(pool->take_idle(address, start, {{}, start}).handle != nullptr);
}

// Guards against giving a request a connection that an earlier attempt of it used, and against losing that
// connection for other requests.
TEST(upstream, excluded_connections_stay_in_the_pool)
{
    add_idle();
    add_idle();
    std::unique_ptr<upstream::connection> last = pool->take_idle(address, start).handle;
    const upstream::connection_numbers excluded{last->number()};
    pool->put_idle(address, std::move(last), start);
    const std::unique_ptr<upstream::connection> other =
        pool->take_idle(address, start, {excluded, {}}).handle;
    CHECK(other != nullptr && other->number() != excluded.front());
    CHECK(pool->take_idle(address, start, {excluded, {}}).handle == nullptr);
    last = pool->take_idle(address, start).handle;
    CHECK(last != nullptr && last->number() == excluded.front());
    LONGS_EQUAL(2, pool->open_connections(address));
}

// Guards against more connections than the limit, and against closed connections that stay counted.
TEST(upstream, connections_are_limited)
{
    options.max_connections = 2;
    options.max_idle_connections = 1;
    pool = std::make_shared<upstream::connection_pool>(context.get_executor(), options);
    std::unique_ptr<upstream::connection> first = pool->create_connection(address);
    std::unique_ptr<upstream::connection> second = pool->create_connection(address);
    CHECK(pool->create_connection(address) == nullptr);
    pool->discard(address, std::move(first));
    LONGS_EQUAL(1, pool->open_connections(address));
    pool->put_idle(address, std::move(second), start);
    LONGS_EQUAL(1, pool->open_connections(address));
    add_idle();
    LONGS_EQUAL(1, pool->open_connections(address));
    pool->close_expired(start + options.idle_lifetime);
    LONGS_EQUAL(0, pool->open_connections(address));
}

// Guards against an error that does not state how far the request got, and against reuse of a connection
// after an error.
TEST(upstream, exchange_failures_state_how_far_the_request_got)
{
    struct exchange_case {
        const char* name;
        const char* response;
        bool is_peer_closing;
        std::optional<forward_failure> failed;
        std::uint32_t kept;
    };
    const std::vector<exchange_case> cases{
        {"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, std::nullopt, 1},
        {"whole, no body", "HTTP/1.1 204 None\r\n\r\n", false, std::nullopt, 1},
        {"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false,
         std::nullopt, 0},
        {"until the end", "HTTP/1.1 200 OK\r\n\r\nok", true, std::nullopt, 0},
        {"excess", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore", false, std::nullopt, 0},
        {"nothing", "", true, forward_failure::response_lost, 0},
        {"part of the header", "HTTP/1.1 200 OK\r\nConte", true, forward_failure::response_lost, 0},
        {"part of the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", true,
         forward_failure::body_truncated, 0},
        {"protocol switch", "HTTP/1.1 101 Other\r\n\r\n", false, forward_failure::malformed_response, 0},
        {"no HTTP", "hello\r\n\r\n", false, forward_failure::malformed_response, 0},
        {"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", false,
         forward_failure::malformed_response, 0},
        {"status 000, no body", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", false,
         forward_failure::malformed_response, 0},
        {"status 000 before a response",
         "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false,
         forward_failure::malformed_response, 0},
        {"status 099", "HTTP/1.1 099 Early\r\n\r\n", false, forward_failure::malformed_response, 0},
    };
    for (const exchange_case& expected : cases) {
        const std::optional<forward_failure> failed =
            exchange_once(expected.response, expected.is_peer_closing);
        CHECK_TEXT(failed == expected.failed, expected.name);
        LONGS_EQUAL_TEXT(expected.kept, pool->open_connections(address), expected.name);
        pool->close_expired(core::instant::max());
        LONGS_EQUAL_TEXT(0, pool->open_connections(address), expected.name);
    }
}

// Guards against a request that waits for ever, and against reuse of a connection on which the response can
// still arrive.
TEST(upstream, deadline_ends_an_exchange)
{
    CHECK(exchange_once("HTTP/1.1 200", false, std::chrono::milliseconds(20)) ==
          forward_failure::response_timeout);
    LONGS_EQUAL(0, pool->open_connections(address));
}

// Guards against a request that runs long after it was given up, because its bytes were held up by a network
// partition and an ordinary close lets the kernel go on sending them: endpoints that had left got it.
TEST(upstream, a_request_that_is_given_up_is_reset)
{
    const std::function<boost::system::error_code()> read_to_end = [this] {
        std::array<char, 64> memory{};
        boost::system::error_code error;
        while (!error) {
            peers.back()->read_some(asio::buffer(memory), error);
        }
        return error;
    };
    exchange_once("HTTP/1.1 200", false, std::chrono::milliseconds(20));
    CHECK(read_to_end() == asio::error::connection_reset);
    // A connection with a complete response is closed in the ordinary way.
    exchange_once("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false);
    CHECK(read_to_end() == asio::error::eof);
}

// Guards against a refused connection that is reported as a request of unknown outcome.
TEST(upstream, refused_connection_is_reported)
{
    acceptor->close();
    CHECK(exchange_once("", false) == forward_failure::refused);
    LONGS_EQUAL(0, pool->open_connections(address));
}

// Guards against a deadline that fires at its old time after it was changed, and against one that never
// fires.
TEST(upstream, deadline_can_be_changed)
{
    const std::shared_ptr<upstream::socket_deadline> deadline =
        upstream::socket_deadline::create(context.get_executor());
    int fired = 0;
    deadline->set_expiry_handler([&] { ++fired; });
    const core::instant now = std::chrono::steady_clock::now();
    deadline->set(now + std::chrono::milliseconds(1));
    deadline->set(now + std::chrono::milliseconds(20));
    context.run_one();
    LONGS_EQUAL(0, fired);
    deadline->clear();
    context.restart();
    context.run();
    LONGS_EQUAL(0, fired);
    CHECK_FALSE(deadline->has_expired());
    deadline->set(now + std::chrono::hours(1));
    deadline->set(now + std::chrono::milliseconds(1));
    context.restart();
    context.run();
    LONGS_EQUAL(1, fired);
    CHECK(deadline->has_expired());
}

// Guards against load reports that are accepted although they are not valid numbers, against a report that
// ends the probes of its endpoint, and against reports of an endpoint that no longer listens that show it as
// reachable.
TEST(upstream, probes_report_health_and_load)
{
    std::string load = R"({"load":0.5})";
    const std::shared_ptr<http::server> server = http::server::create(
        context.get_executor(), "127.0.0.1", 0, {},
        [&](http::request message) -> asio::awaitable<http::response> {
            http::response answer;
            answer.body = message.target == "/health" ? R"({"healthy":true,"draining":true})" : load;
            co_return answer;
        });
    server->start();
    std::vector<upstream::probe_report> reports;
    upstream::probe_options probe_options;
    probe_options.interval = std::chrono::milliseconds(1);
    const std::shared_ptr<upstream::probe> probe =
        upstream::probe::create(context.get_executor(), probe_options,
                                [&](const upstream::probe_report& report) { reports.push_back(report); });
    const auto next_report = [&] {
        reports.clear();
        // The probe of the first report may have been sent before the change.
        const core::instant end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (reports.size() < 2 && std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(100));
        }
        CHECK_TEXT(reports.size() >= 2, "the endpoint is no longer probed");
        return reports.back();
    };
    probe->set_targets({{"first", "127.0.0.1", server->port()}, {"bad", "no address", 1}});
    upstream::probe_report report = next_report();
    CHECK(report.identity == "first" && report.is_reachable && report.is_healthy && report.is_draining);
    CHECK(report.load == 0.5);
    const std::string deeply_nested(5000, '[');
    for (const std::string& text : {std::string(), std::string("{}"), std::string(R"({"load":"high"})"),
                                    std::string(R"({"load":-1})"), std::string("[1]"), deeply_nested}) {
        load = text;
        report = next_report();
        CHECK_FALSE_TEXT(report.load.has_value(), text.c_str());
    }
    acceptor->close();
    probe->set_targets({{"gone", "127.0.0.1", address.port()}});
    do {
        report = next_report();
    } while (report.identity != "gone");
    CHECK_FALSE(report.is_reachable || report.is_healthy);
    probe->stop();
    server->stop();
    context.poll();
}
