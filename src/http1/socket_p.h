#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <string>

namespace buckthornford {

/// How long sent bytes may stay unacknowledged before the connection counts as broken.
constexpr int unacknowledgedLimitMs = 4000;

/// Room for one read; shared by all connections of the thread, so that idle ones need none.
inline std::array<char, 65536> &readScratch()
{
    static std::array<char, 65536> scratch;
    return scratch;
}

/// Sets the options that all connections have.
void prepareSocket(boost::asio::ip::tcp::socket *socket);

/// Has the operating system probe the peer of a silent connection.
void probeWhileSilent(boost::asio::ip::tcp::socket *socket);

/// Reads what is there without blocking and appends it to \a in.
enum class ReadState { Open, Ended, Broken };
ReadState readAvailable(boost::asio::ip::tcp::socket *socket, std::string *in);

} // namespace buckthornford
