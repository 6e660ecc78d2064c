#pragma once

/// Listening TCP socket on an event loop.

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

    /// Binds to IPv4 address \a host and \a port (0: any free port) and listens. Returns
    /// Error::BindFailed if any step of that fails.
    static Result<std::unique_ptr<Listener>> open(EventLoop *loop, const std::string &host,
                                                  std::uint16_t port);

    /// Starts to accept connections and passes each one to \a handler.
    void start(Handler handler);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;

    Listener(EventLoop *loop, Acceptor acceptor)
        : m_acceptor(std::move(acceptor))
        , m_acceptRetryTimer(*loop)
    {}
    void accept();

    Acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetryTimer; ///< delays the next accept after a failed one
    Handler m_handler;
};

} // namespace buckthornford
