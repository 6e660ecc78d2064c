#pragma once

/// A listening socket on an event loop.

#include "core/core.h"
#include "loop/loop.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace buckthornford {

class Listener
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Handler = std::function<void(Socket)>;

    /// Listens at IPv4 address \a host and \a port (0 for any free one). Error::BindFailed if that
    /// can't be done.
    static Result<std::unique_ptr<Listener>> open(EventLoop *loop, const std::string &host,
                                                  std::uint16_t port);

    /// Hands each new connection to \a handler from now on.
    void start(Handler handler);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;

    Listener(EventLoop *loop, Acceptor acceptor)
        : m_acceptor(std::move(acceptor))
        , m_retry(*loop)
    {}
    void accept();

    Acceptor m_acceptor;
    boost::asio::steady_timer m_retry; ///< waits for descriptors after a failed accept
    Handler m_handler;
};

} // namespace buckthornford
