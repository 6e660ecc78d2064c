#pragma once

#include "fault/proxy.h"

#include <array>
#include <memory>
#include <set>

namespace buckthornford {

class ProxyLink;

/// One direction of a connection.
struct Pump
{
    boost::asio::ip::tcp::socket *from = nullptr;
    boost::asio::ip::tcp::socket *to = nullptr;
    bool isToTarget = false;
    std::array<char, 16384> buffer{};
    std::size_t passed = 0; ///< bytes
    std::unique_ptr<boost::asio::steady_timer> timer;
};

/// A client's connection and the one to the target.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    ProxyConnection(ProxyLink *link, boost::asio::ip::tcp::socket client);

    void start();
    void close();
    void swallowForGood() { m_isSwallowed = true; }

private:
    void read(Pump *pump);
    void forward(Pump *pump, std::size_t size);
    void write(Pump *pump, std::size_t size);
    bool isSwallowed(const Pump &pump) const;

    ProxyLink *m_link;
    boost::asio::ip::tcp::socket m_client;
    boost::asio::ip::tcp::socket m_target;
    Pump m_toTarget;
    Pump m_toClient;
    std::size_t m_breakAfter;
    bool m_isSwallowed = false;
    bool m_isClosed = false;
};

/// A listening address and its connections.
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
