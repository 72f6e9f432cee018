// Relays the connections of a link. The link has one thread, and all of its state is used on that thread
// alone, so it needs no lock.

#include "tests/support/network_link.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace quetzalspan::tests
{

namespace asio = boost::asio;
using error_code = boost::system::error_code;

// One relayed connection with a socket to each side. All of it runs on the link's thread.
class network_link::connection : public std::enable_shared_from_this<network_link::connection>
{
public:
    connection(network_link& link, asio::ip::tcp::socket client)
        : m_link(link), m_client(std::move(client)), m_server(link.m_context), m_is_cut(link.m_is_cut)
    {
    }

    void start(const asio::ip::tcp::endpoint& target)
    {
        const std::shared_ptr<connection> self = shared_from_this();
        m_server.async_connect(target, [self](const error_code& error) {
            if (error) {
                self->close();
                return;
            }
            self->relay(self->m_client, self->m_server, self->m_request_buffer, false);
            self->relay(self->m_server, self->m_client, self->m_response_buffer, true);
        });
    }

    void set_cut() { m_is_cut = true; }

    // Closes both sockets with a reset (RST) in place of an orderly end.
    void reset()
    {
        error_code ignored;
        m_client.set_option(asio::socket_base::linger(true, 0), ignored);
        m_server.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    void close()
    {
        error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    }

private:
    using buffer = std::array<char, 16384>;

    // Reads a chunk of bytes from one socket and forwards it to the other, then starts again. Ends when the
    // stream ends or when a fault of the link discards its bytes.
    void relay(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, buffer& storage, bool is_response)
    {
        const std::shared_ptr<connection> self = shared_from_this();
        from.async_read_some(asio::buffer(storage), [self, &from, &to, &storage,
                                                     is_response](const error_code& error, std::size_t size) {
            if (self->m_is_cut || (is_response && self->m_link.m_drops_responses)) {
                // Discards the bytes and stops reading without closing: neither side sees an error.
                return;
            }
            if (error) {
                error_code ignored;
                to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                return;
            }
            self->forward_after_delay(from, to, storage, size, is_response);
        });
    }

    void forward_after_delay(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, buffer& storage,
                             std::size_t size, bool is_response)
    {
        const std::shared_ptr<connection> self = shared_from_this();
        const std::shared_ptr<asio::steady_timer> timer =
            std::make_shared<asio::steady_timer>(m_link.m_context, m_link.m_delay);
        timer->async_wait([self, timer, &from, &to, &storage, size, is_response](const error_code&) {
            asio::async_write(
                to, asio::buffer(storage, size),
                [self, &from, &to, &storage, is_response](const error_code& error, std::size_t) {
                    if (error) {
                        self->close();
                        return;
                    }
                    self->relay(from, to, storage, is_response);
                });
        });
    }

    network_link& m_link;
    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_server;
    // Stays set when the link heals: a connection that was open during a cut carries no more bytes.
    bool m_is_cut;
    buffer m_request_buffer{};
    buffer m_response_buffer{};
};

network_link::network_link(std::uint16_t target_port, const std::string& target_host)
    : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
      m_target(asio::ip::make_address(target_host), target_port)
{
    m_port = m_acceptor.local_endpoint().port();
    accept_connection();
    m_thread = std::thread([this] { m_context.run(); });
}

network_link::~network_link()
{
    m_context.stop();
    m_thread.join();
}

void network_link::accept_connection()
{
    m_acceptor.async_accept([this](const error_code& error, asio::ip::tcp::socket socket) {
        if (!error) {
            const std::shared_ptr<connection> accepted =
                std::make_shared<connection>(*this, std::move(socket));
            m_connections.insert(accepted);
            accepted->start(m_target);
        }
        accept_connection();
    });
}

void network_link::run(std::function<void()> action)
{
    asio::post(m_context, asio::use_future(std::move(action))).get();
}

void network_link::cut()
{
    run([this] {
        m_is_cut = true;
        for (const std::shared_ptr<connection>& entry : m_connections) {
            entry->set_cut();
        }
    });
}

void network_link::cut_responses()
{
    run([this] { m_drops_responses = true; });
}

void network_link::set_delay(core::duration delay)
{
    run([this, delay] { m_delay = delay; });
}

void network_link::reset()
{
    run([this] {
        for (const std::shared_ptr<connection>& entry : m_connections) {
            entry->reset();
        }
        m_connections.clear();
    });
}

void network_link::heal()
{
    run([this] {
        const bool was_cut = std::exchange(m_is_cut, false);
        const bool dropped_responses = std::exchange(m_drops_responses, false);
        if (!was_cut && !dropped_responses) {
            return;
        }
        for (const std::shared_ptr<connection>& entry : m_connections) {
            entry->close();
        }
        m_connections.clear();
    });
}

} // namespace quetzalspan::tests
