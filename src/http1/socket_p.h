#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace buckthornford {

/// The buffer that every read fills first. All connections of a thread share it, so that idle ones
/// hold no memory for reading. It lies on the heap: the stacks of some threads are short, and what
/// a thread has of its own takes from its stack.
inline std::vector<char> &sharedReadBuffer()
{
    constexpr std::size_t size = 65536; // bytes
    thread_local std::vector<char> buffer(size);
    return buffer;
}

/// Sets the options that all connections have: non-blocking, no Nagle delay.
void prepareSocket(boost::asio::ip::tcp::socket *socket);

/// TCP_USER_TIMEOUT of connections between nodes.
constexpr int tcpUserTimeoutMs = 4000;

/// Sets TCP_USER_TIMEOUT: the connection breaks when sent bytes stay unacknowledged for
/// tcpUserTimeoutMs, and also when the peer is alive but reads nothing for so long. Callers and
/// upstreams may do that.
void setTcpUserTimeout(boost::asio::ip::tcp::socket *socket);

/// TCP_USER_TIMEOUT of connections with keep-alive. It overrides the number of probes (tcp(7)): the
/// connection breaks at the first probe that is due this long after the peer's last segment.
constexpr int keepAliveUserTimeoutMs = 2000;

/// Turns on TCP keep-alive: the first probe after a second of silence, then one a second, until
/// keepAliveUserTimeoutMs has passed.
void setTcpKeepAlive(boost::asio::ip::tcp::socket *socket);

/// State of a connection after a read: open, ended by the peer (EOF), or broken (the read failed).
enum class ReadState { Open, Ended, Broken };

/// Reads up to one buffer of the available bytes without blocking and appends them to \a in.
ReadState readAvailable(boost::asio::ip::tcp::socket *socket, std::string *in);

} // namespace buckthornford
