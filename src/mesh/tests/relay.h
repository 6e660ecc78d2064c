#pragma once

/// A relay between two nodes whose open connections can go silent for good, for the tests of the
/// mesh.

#include "loop/loop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <vector>

namespace buckthornford {

class SilencingRelay
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Forwards connections to 127.0.0.1:\a port to \a targetPort there.
    SilencingRelay(EventLoop *loop, std::uint16_t port, std::uint16_t targetPort)
        : m_loop(loop)
        , m_acceptor(*loop, endpoint(port))
        , m_target(endpoint(targetPort))
    {
        accept();
    }

    /// From now on the open connections pass nothing on, and don't end either.
    void silence()
    {
        for (const auto &connection : m_connections)
            connection->isSilent = true;
        m_connections.clear();
    }

private:
    struct Direction
    {
        Socket *from;
        Socket *to;
        std::array<char, 4096> buffer{};
    };
    struct Connection
    {
        Connection(Socket accepted, EventLoop *loop)
            : client(std::move(accepted))
            , server(*loop)
        {}

        Socket client;
        Socket server;
        Direction toServer{&client, &server};
        Direction toClient{&server, &client};
        bool isSilent = false;
    };

    static boost::asio::ip::tcp::endpoint endpoint(std::uint16_t port)
    {
        return {boost::asio::ip::address_v4::loopback(), port};
    }

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, Socket socket) {
            if (error)
                return;
            const auto connection = std::make_shared<Connection>(std::move(socket), m_loop);
            connection->server.connect(m_target);
            m_connections.push_back(connection);
            forward(connection, &connection->toServer);
            forward(connection, &connection->toClient);
            accept();
        });
    }

    /// Reads on when silent, as a network does that drops what it receives.
    void forward(const std::shared_ptr<Connection> &connection, Direction *direction)
    {
        direction->from->async_read_some(
                boost::asio::buffer(direction->buffer),
                [this, connection, direction](const boost::system::error_code &error,
                                              std::size_t size) {
                    if (error)
                        return;
                    if (!connection->isSilent)
                        boost::asio::write(*direction->to,
                                           boost::asio::buffer(direction->buffer.data(), size));
                    forward(connection, direction);
                });
    }

    EventLoop *m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    std::vector<std::shared_ptr<Connection>> m_connections;
};

} // namespace buckthornford
