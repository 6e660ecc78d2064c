#pragma once

#include "http1/http1.h"
#include "http1/socket_p.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace buckthornford {

namespace http = boost::beast::http;

/// How long a connection that was told to end may stay half open.
constexpr Duration lingerLimit = std::chrono::seconds(1);

/// One caller's connection. It keeps reading while a request waits for its answer, so that a
/// caller who leaves is noticed at once.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(HttpServerTask *door, boost::asio::ip::tcp::socket socket);

    void begin();
    void answer(const ServerResponse &answer);
    bool isOverdue(TimePoint now) const;
    void endOverdue();

    /// Closes the socket without telling the door.
    void abandon();

private:
    using Parser = http::request_parser<http::string_body>;
    enum class State { Reading, Waiting, Writing, Lingering, Closed };

    void waitForBytes();
    void readBytes();
    void parse();
    void continueIfExpected();
    void dispatch();
    void refuse(const boost::system::error_code &error);
    void onWritten(bool isWhole);
    void leave();
    void close();
    static std::string headOf(const ServerResponse &answer, bool closes);

    HttpServerTask *m_door;
    boost::asio::ip::tcp::socket m_socket;
    State m_state = State::Reading;
    std::string m_in;
    std::string m_out;
    std::unique_ptr<Parser> m_parser;
    std::optional<RequestId> m_request; ///< waits for its answer
    TimePoint m_since;                  ///< of the present state
    bool m_isWaitingForBytes = false;
    bool m_keepAlive = true;
    bool m_isHead = false;
    bool m_hasContinued = false;
    bool m_closeAfter = false;
};

} // namespace buckthornford
