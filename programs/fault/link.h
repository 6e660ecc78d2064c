#pragma once

#include "fault/proxy.h"

#include <array>
#include <memory>
#include <set>

namespace buckthornford {

class ProxyLink;

/// Relays the bytes of one direction of a connection.
struct Relay
{
    boost::asio::ip::tcp::socket *from = nullptr;
    boost::asio::ip::tcp::socket *to = nullptr;
    bool isToTarget = false;
    std::array<char, 16384> buffer{};
    std::size_t relayedBytes = 0;
    std::unique_ptr<boost::asio::steady_timer> timer; ///< delays the buffered bytes
};

/// A connection of a client and the one to the target that belongs to it.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    ProxyConnection(ProxyLink *link, boost::asio::ip::tcp::socket client);

    void start();
    void close();
    /// Discards the bytes of both directions until the connection ends.
    void swallowAllFromNow() { m_swallowsAll = true; }

private:
    void read(Relay *relay);
    void forward(Relay *relay, std::size_t size);
    void write(Relay *relay, std::size_t size);
    bool swallows(const Relay &relay) const;

    ProxyLink *m_link;
    boost::asio::ip::tcp::socket m_client;
    boost::asio::ip::tcp::socket m_target;
    Relay m_toTarget;
    Relay m_toClient;
    std::size_t m_breakAfter;
    bool m_swallowsAll = false;
    bool m_isClosed = false;
};

/// A listening address, its target, its connections and the fault that they have now.
class ProxyLink : public std::enable_shared_from_this<ProxyLink>
{
public:
    ProxyLink(boost::asio::io_context *context, LinkSpec spec);

    Result<void> listen();
    void setFault(const LinkFault &fault);

    const LinkFault &fault() const { return m_fault; }
    const LinkSpec &spec() const { return m_spec; }
    boost::asio::io_context *context() const { return m_context; }
    void remove(const std::shared_ptr<ProxyConnection> &connection);

private:
    void accept();

    boost::asio::io_context *m_context;
    LinkSpec m_spec;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<ProxyConnection>> m_connections;
    LinkFault m_fault;
};

} // namespace buckthornford
