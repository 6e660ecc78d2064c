#include "loop/listener.h"

namespace buckthornford {

namespace {

constexpr std::chrono::milliseconds acceptRetryDelay{100};
constexpr int backlog = 1024; ///< connections that the kernel queues for accept()

} // namespace

Result<std::unique_ptr<Listener>> Listener::open(EventLoop *loop, const std::string &host,
                                                 std::uint16_t port)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(host, error);
    const boost::asio::ip::tcp::endpoint endpoint(address, port);
    Acceptor acceptor(*loop);
    if (!error)
        acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(Acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(backlog, error);
    if (error)
        return Error::BindFailed;
    return std::unique_ptr<Listener>(new Listener(loop, std::move(acceptor)));
}

void Listener::start(Handler handler)
{
    m_handler = std::move(handler);
    accept();
}

void Listener::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, Socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            m_handler(std::move(socket));
            accept();
            return;
        }
        // The most likely cause is that the process is out of file descriptors. The delay lets
        // connections end and free some.
        m_acceptRetryTimer.expires_after(acceptRetryDelay);
        m_acceptRetryTimer.async_wait([this](const boost::system::error_code &cancelled) {
            if (!cancelled)
                accept();
        });
    });
}

} // namespace buckthornford
