#include "fault/link.h"

namespace buckthornford {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.host), endpoint.port};
}

} // namespace

ProxyConnection::ProxyConnection(ProxyLink *link, tcp::socket client)
    : m_link(link)
    , m_client(std::move(client))
    , m_target(*link->context())
    , m_breakAfter(link->fault().breakAfterBytes)
{
    m_toTarget.from = &m_client;
    m_toTarget.to = &m_target;
    m_toTarget.isToTarget = true;
    m_toClient.from = &m_target;
    m_toClient.to = &m_client;
    m_toTarget.timer = std::make_unique<asio::steady_timer>(*link->context());
    m_toClient.timer = std::make_unique<asio::steady_timer>(*link->context());
}

void ProxyConnection::start()
{
    auto self = shared_from_this();
    m_target.async_connect(toAsio(m_link->spec().target), [self](const error_code &error) {
        if (error) {
            self->close();
            return;
        }
        error_code ignored;
        self->m_client.set_option(tcp::no_delay(true), ignored);
        self->m_target.set_option(tcp::no_delay(true), ignored);
        self->read(&self->m_toTarget);
        self->read(&self->m_toClient);
    });
}

void ProxyConnection::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    error_code ignored;
    m_client.close(ignored);
    m_target.close(ignored);
    m_toTarget.timer->cancel();
    m_toClient.timer->cancel();
    m_link->remove(shared_from_this());
}

bool ProxyConnection::swallows(const Relay &relay) const
{
    const LinkFault &fault = m_link->fault();
    return m_swallowsAll || (relay.isToTarget ? fault.swallowToTarget : fault.swallowToClient);
}

void ProxyConnection::read(Relay *relay)
{
    auto self = shared_from_this();
    relay->from->async_read_some(asio::buffer(relay->buffer),
                                 [self, relay](const error_code &error, std::size_t size) {
                                     if (error) {
                                         // The other side of a silent connection doesn't see that
                                         // it has ended either.
                                         if (!self->swallows(*relay))
                                             self->close();
                                         return;
                                     }
                                     self->forward(relay, size);
                                 });
}

void ProxyConnection::forward(Relay *relay, std::size_t size)
{
    if (swallows(*relay)) {
        read(relay);
        return;
    }
    const LinkFault &fault = m_link->fault();
    Duration wait = fault.delay;
    if (fault.bytesPerSecond > 0.0) {
        constexpr double microsecondsPerSecond = 1e6;
        wait += Duration{static_cast<Duration::rep>(static_cast<double>(size) / fault.bytesPerSecond
                                                    * microsecondsPerSecond)};
    }
    if (wait == Duration{0}) {
        write(relay, size);
        return;
    }
    auto self = shared_from_this();
    relay->timer->expires_after(wait);
    relay->timer->async_wait([self, relay, size](const error_code &error) {
        if (!error)
            self->write(relay, size);
    });
}

void ProxyConnection::write(Relay *relay, std::size_t size)
{
    const bool breaksHere
            = !relay->isToTarget && m_breakAfter > 0 && relay->relayedBytes + size > m_breakAfter;
    if (breaksHere)
        size = m_breakAfter > relay->relayedBytes ? m_breakAfter - relay->relayedBytes : 0;
    relay->relayedBytes += size;
    auto self = shared_from_this();
    asio::async_write(*relay->to, asio::buffer(relay->buffer.data(), size),
                      [self, relay, breaksHere](const error_code &error, std::size_t) {
                          if (error || breaksHere)
                              self->close();
                          else
                              self->read(relay);
                      });
}

ProxyLink::ProxyLink(asio::io_context *context, LinkSpec spec)
    : m_context(context)
    , m_spec(std::move(spec))
    , m_acceptor(*context)
{}

Result<void> ProxyLink::listen()
{
    error_code error;
    m_acceptor.open(tcp::v4(), error);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(toAsio(m_spec.listen), error);
    if (error)
        return Error::BindFailed;
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Error::BindFailed;
    accept();
    return success();
}

void ProxyLink::accept()
{
    auto self = shared_from_this();
    m_acceptor.async_accept([self](const error_code &error, tcp::socket socket) {
        if (error)
            return;
        if (!self->m_fault.cut) {
            auto connection = std::make_shared<ProxyConnection>(self.get(), std::move(socket));
            self->m_connections.insert(connection);
            connection->start();
        }
        self->accept();
    });
}

void ProxyLink::setFault(const LinkFault &fault)
{
    m_fault = fault;
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        if (fault.cut)
            connection->close();
        else if (fault.swallowExisting)
            connection->swallowAllFromNow();
    }
}

void ProxyLink::remove(const std::shared_ptr<ProxyConnection> &connection)
{
    m_connections.erase(connection);
}

} // namespace buckthornford
