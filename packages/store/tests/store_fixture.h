// Test fixture that runs the store stand-in and its clients in one process, on one thread and with virtual
// time in the store.

#pragma once

#include "standins/store/store_server.h"
#include "store/store_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <memory>

namespace quetzalspan::store
{

class store_fixture
{
public:
    explicit store_fixture(standin_store::service_options options = {})
        : service(std::make_shared<standin_store::store_service>(options, [this] { return now; })),
          server(standin_store::store_server::create(context.get_executor(), "127.0.0.1", 0, 0, service))
    {
        server->start();
    }

    ~store_fixture()
    {
        server->stop();
        // Stop the handlers before the service that they use is destroyed.
        context.stop();
    }

    store_fixture(const store_fixture&) = delete;
    store_fixture& operator=(const store_fixture&) = delete;

    store_options client_options() const
    {
        store_options options;
        options.addresses = {{"127.0.0.1", server->port()}};
        // Long enough that calls do not time out on a busy machine.
        options.call_timeout = std::chrono::seconds(20);
        return options;
    }

    store_hooks client_hooks()
    {
        return {[this] { return now; }, [] { return 1.0; }};
    }

    std::unique_ptr<store_client> make_client()
    {
        return std::make_unique<store_client>(context.get_executor(), client_options(), client_hooks());
    }

    void set_availability(standin_store::availability value)
    {
        service->set_availability(value);
        server->apply_availability();
        // Let the server open or close its listening socket.
        context.poll();
    }

    // Runs the coroutine to completion and returns its result.
    template <typename Result>
    Result run(boost::asio::awaitable<Result> work)
    {
        std::future<Result> result = boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
        while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            context.run_one();
        }
        return result.get();
    }

    core::instant now{std::chrono::seconds(1000)};
    boost::asio::io_context context;
    std::shared_ptr<standin_store::store_service> service;
    std::shared_ptr<standin_store::store_server> server;
};

} // namespace quetzalspan::store
