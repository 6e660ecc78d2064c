#include "http1/socket_p.h"

#include <boost/asio/buffer.hpp>

#include <netinet/tcp.h>

namespace buckthornford {

namespace {

using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

void prepareSocket(boost::asio::ip::tcp::socket *socket)
{
    // Errors are ignored: on a socket that has broken meanwhile, the next read or write fails too.
    boost::system::error_code ignored;
    socket->non_blocking(true, ignored);
    socket->set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void setTcpUserTimeout(boost::asio::ip::tcp::socket *socket)
{
    boost::system::error_code ignored;
    socket->set_option(UserTimeout(tcpUserTimeoutMs), ignored);
}

void setTcpKeepAlive(boost::asio::ip::tcp::socket *socket)
{
    using boost::asio::detail::socket_option::integer;
    constexpr int idleSeconds = 1;
    constexpr int intervalSeconds = 1;
    constexpr int maxUnansweredProbes = 1;
    boost::system::error_code ignored;
    socket->set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket->set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(idleSeconds), ignored);
    socket->set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(intervalSeconds), ignored);
    socket->set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(maxUnansweredProbes), ignored);
    socket->set_option(UserTimeout(keepAliveUserTimeoutMs), ignored);
}

ReadState readAvailable(boost::asio::ip::tcp::socket *socket, std::string *in)
{
    auto &readBuffer = sharedReadBuffer();
    boost::system::error_code error;
    const std::size_t count = socket->read_some(boost::asio::buffer(readBuffer), error);
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again)
        return ReadState::Open;
    if (error == boost::asio::error::eof)
        return ReadState::Ended;
    if (error)
        return ReadState::Broken;
    in->append(readBuffer.data(), count);
    return ReadState::Open;
}

} // namespace buckthornford
