#pragma once

#include "core/units.h"

#include <string_view>

namespace buckthornford {

/// Why an HTTP message, or the answer of another node, is refused. faultRow() returns the name, the
/// message and the HTTP status of a value.
enum class MessageFault {
    None,
    // The head (RFC 9112, 2 to 6).
    StartLine,
    Status,
    LineEnd,
    FieldName,
    FieldValue,
    FoldedLine,
    ContentLength,
    TransferCoding,
    UnknownTransferCoding,
    HeadTooLong,
    TwoHeads,
    // The body (RFC 9112, 6 to 8).
    Chunk,
    BodyTooLong,
    Incomplete,
    Reset,
    // The exchange.
    ExchangeTooLong,
    NoMemory,
    OtherExchange,
    NotFromUpstream,
};

/// Name, message and HTTP status of one MessageFault.
struct MessageFaultRow
{
    MessageFault fault;
    std::string_view name;    ///< stable; stands in logs
    std::string_view message; ///< says to people what is wrong
    int httpStatus;           ///< of the response to a request that is refused for this
};

const MessageFaultRow &faultRow(MessageFault fault);

/// What a client has refused in place of a response, for logs.
struct RefusedResponse
{
    MessageFault fault = MessageFault::None; ///< None if nothing was refused
    int status = 0;                          ///< that the head names; 0 if no head is whole
    Bytes received{0};                       ///< in the exchange
};

} // namespace buckthornford
