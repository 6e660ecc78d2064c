#pragma once

#include "loop/loop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace buckthornford {

/// A server on a thread of its own that reads nothing. On each connection it writes \a prefix, then
/// \a unit again and again until it has written \a limit bytes, and keeps the connection open.
class FloodServer
{
public:
    FloodServer(std::string prefix, const std::string &unit, std::size_t limit)
        : m_prefix(std::move(prefix))
        , m_limit(unit.empty() ? 0 : limit)
        , m_acceptor(m_loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0})
    {
        constexpr std::size_t blockSize = 65536; // bytes
        while (!unit.empty() && m_block.size() < blockSize)
            m_block += unit;
        accept();
        m_thread = std::thread([this] { m_loop.run(); });
    }
    FloodServer(const FloodServer &) = delete;
    FloodServer &operator=(const FloodServer &) = delete;

    ~FloodServer()
    {
        m_loop.stop();
        m_thread.join();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// Bytes that the server has written on all connections.
    std::size_t written() const { return m_written; }

private:
    struct Connection
    {
        boost::asio::ip::tcp::socket socket;
        std::size_t written = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error,
                                       boost::asio::ip::tcp::socket socket) {
            if (error)
                return;
            const auto connection = std::make_shared<Connection>(Connection{std::move(socket)});
            m_connections.push_back(connection);
            write(connection, m_prefix);
            accept();
        });
    }

    void write(const std::shared_ptr<Connection> &connection, const std::string &bytes)
    {
        boost::asio::async_write(
                connection->socket, boost::asio::buffer(bytes),
                [this, connection](const boost::system::error_code &error, std::size_t count) {
                    m_written += count;
                    connection->written += count;
                    if (!error && connection->written < m_limit)
                        write(connection, m_block);
                });
    }

    std::string m_prefix;
    std::string m_block;
    std::size_t m_limit;
    EventLoop m_loop{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::atomic<std::size_t> m_written{0};
    std::thread m_thread;
};

} // namespace buckthornford
