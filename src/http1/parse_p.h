#pragma once

/// The rule for the head of a message, of requests and of responses (RFC 9112). Beast checks the
/// start line (3 and 4), that each line ends with CRLF (2.2), that names are tokens with the colon
/// at once behind them (5.1), that values hold no control bytes (RFC 9110, 5.5), and Content-Length
/// (6.3). What it takes beyond the RFC is refused here: folded lines (5.2), numbers that are no
/// status (RFC 9110, 15), and transfer codings that leave the end of the body open (6.1 and 6.3).

#include "core/headers.h"
#include "core/message_fault.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace buckthornford {

/// Returns which fault of a message Beast has reported as \a error.
MessageFault faultOf(const boost::system::error_code &error);

/// Returns why the end of the body of a message with the head \a fields isn't known: what follows
/// the head could be taken for the next message then.
MessageFault framingFault(const boost::beast::http::fields &fields, unsigned version);

/// Returns the fault of \a message, whose head Beast has read.
template <bool isRequest, class Body>
MessageFault headFault(const boost::beast::http::message<isRequest, Body> &message)
{
    if constexpr (!isRequest) {
        if (!isStatusCode(static_cast<int>(message.result_int())))
            return MessageFault::Status;
    }
    return framingFault(message, message.version());
}

/// Returns whether the head at the start of \a bytes, if all of it has arrived, has a line that
/// begins with a blank or a tab. Beast joins such a line to the one before it, and others may read
/// it as a line of its own.
bool hasFoldedLine(std::string_view bytes);

/// What a parser made of the bytes that it was given.
struct ParseStep
{
    bool needsMore = false; ///< it can't go on until more bytes arrive
    /// Why the message is refused; the parser can't be used any more then.
    MessageFault fault = MessageFault::None;
};

/// Moves what \a parser can take now from the start of \a bytes into it: first the head of a
/// message, then its body. Beast reports most errors by their code, but a field that is longer than
/// it can hold by an exception.
template <class Parser>
ParseStep parseSome(Parser *parser, std::string *bytes)
{
    // Beast loses the error of a Content-Length beyond the body limit if it goes on at once with
    // the bytes behind the head.
    const bool hadHead = parser->is_header_done();
    parser->eager(hadHead);
    if (!hadHead && hasFoldedLine(*bytes))
        return {false, MessageFault::FoldedLine};
    boost::system::error_code error;
    std::size_t used = 0;
    try {
        used = parser->put(boost::asio::buffer(*bytes), error);
    } catch (const std::length_error &) {
        return {false, MessageFault::HeadTooLong};
    }
    bytes->erase(0, used);
    const bool lacksBytes = error == boost::beast::http::error::need_more;
    if (error && !lacksBytes)
        return {false, faultOf(error)};
    if (!hadHead && parser->is_header_done())
        return {false, headFault(parser->get())};
    return {used == 0 || lacksBytes, MessageFault::None};
}

} // namespace buckthornford
