#pragma once

#include "http1/http1.h"
#include "http1/socket_p.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace buckthornford {

namespace http = boost::beast::http;

/// How long a connection stays half open after this side has shut down sending, for the client to
/// read the response and close.
constexpr Duration lingerTimeout = std::chrono::seconds(1);

/// One client's connection. It keeps reading while a request waits for its response, so that it
/// notices at once when the client disconnects.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(HttpServerTask *server, boost::asio::ip::tcp::socket socket);

    void start();
    void sendResponse(const ServerResponse &response);
    bool isTimedOut(TimePoint now) const;

    /// Returns the bytes of the response in progress, which is held until all of it is written.
    std::size_t pendingBytes() const
    {
        return m_state == State::Writing ? m_writeBuffer.size() : 0;
    }

    /// Returns since when the client has taken nothing of the response in progress.
    TimePoint lastProgress() const { return m_timeoutStart; }

    /// Whether a request has been read whose response is not yet wholly written.
    bool isUnanswered() const
    {
        return m_state == State::AwaitingResponse || m_state == State::Writing;
    }

    /// Closes the connection; answers 408 first if a request is partly read.
    void handleTimeout();

    /// Closes the socket but leaves the connection in the server's table.
    void closeSocket();

    /// Closes the socket and removes the connection from the server's table.
    void close();

private:
    using Parser = http::request_parser<http::string_body>;
    enum class State { Reading, AwaitingResponse, Writing, Lingering, Closed };

    void waitForBytes();
    void readBytes();
    void parse();
    bool holdBodyMemory();
    void refuse(MessageFault fault);
    void refuse(int status, const std::string &message, HttpHeaders headers = {});
    void sendContinueIfExpected();
    void deliverRequest();
    void onWritten(bool isWhole);

    /// Closes after the client has disconnected and reports an unanswered request.
    void handleDisconnect();

    static std::string responseHead(const ServerResponse &response, bool closes);

    HttpServerTask *m_server;
    boost::asio::ip::tcp::socket m_socket;
    State m_state = State::Reading;
    std::string m_readBuffer;
    std::string m_writeBuffer;
    std::size_t m_writtenBytes = 0; ///< of m_writeBuffer
    std::unique_ptr<Parser> m_parser;
    std::optional<HeldMemory> m_bodyMemory; ///< of the request that is being read
    std::optional<RequestId> m_request;     ///< the request that awaits its response
    /// Start of the timeout that runs: idle, header or linger timeout, by state.
    TimePoint m_timeoutStart;
    bool m_isWaitingForBytes = false;
    bool m_keepAlive = true; ///< whether the client keeps the connection after this request
    bool m_isHeadRequest = false;
    bool m_hasSentContinue = false;
    bool m_closesAfterResponse = false;
};

} // namespace buckthornford
