#include "http1/socket_p.h"

#include <boost/asio/buffer.hpp>

#include <netinet/tcp.h>

namespace buckthornford {

void prepareSocket(boost::asio::ip::tcp::socket *socket)
{
    using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    // Best effort: a socket that broke meanwhile reports it at its next use.
    boost::system::error_code ignored;
    socket->non_blocking(true, ignored);
    socket->set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket->set_option(UserTimeout(unacknowledgedLimitMs), ignored);
}

void probeWhileSilent(boost::asio::ip::tcp::socket *socket)
{
    using boost::asio::detail::socket_option::integer;
    constexpr int idleSeconds = 2;
    constexpr int intervalSeconds = 1;
    constexpr int probes = 2;
    boost::system::error_code ignored;
    socket->set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket->set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(idleSeconds), ignored);
    socket->set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(intervalSeconds), ignored);
    socket->set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(probes), ignored);
}

ReadState readAvailable(boost::asio::ip::tcp::socket *socket, std::string *in)
{
    auto &scratch = readScratch();
    boost::system::error_code error;
    const std::size_t count = socket->read_some(boost::asio::buffer(scratch), error);
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again)
        return ReadState::Open;
    if (error == boost::asio::error::eof)
        return ReadState::Ended;
    if (error)
        return ReadState::Broken;
    in->append(scratch.data(), count);
    return ReadState::Open;
}

} // namespace buckthornford
