#include "core/message_fault.h"

#include <array>

namespace buckthornford {

namespace {

constexpr std::array faultRows{
        MessageFaultRow{MessageFault::None, "none", "no fault", 200},
        MessageFaultRow{MessageFault::StartLine, "bad-start-line",
                        "the start line is none of HTTP/1.0 or HTTP/1.1 (RFC 9112, 3 and 4)", 400},
        MessageFaultRow{MessageFault::Status, "bad-status",
                        "the status is not in 100 to 599 (RFC 9112, 4; RFC 9110, 15)", 400},
        MessageFaultRow{MessageFault::LineEnd, "bad-line-end",
                        "a line does not end with CRLF (RFC 9112, 2.2)", 400},
        MessageFaultRow{MessageFault::FieldName, "bad-field-name",
                        "a field line does not begin with a token and a colon (RFC 9112, 5.1)",
                        400},
        MessageFaultRow{MessageFault::FieldValue, "bad-field-value",
                        "a field value holds a control byte (RFC 9110, 5.5)", 400},
        MessageFaultRow{MessageFault::FoldedLine, "folded-line",
                        "a line of the head begins with a blank (RFC 9112, 2.2 and 5.2)", 400},
        MessageFaultRow{MessageFault::ContentLength, "bad-content-length",
                        "Content-Length tells no single length (RFC 9112, 6.3)", 400},
        MessageFaultRow{MessageFault::TransferCoding, "bad-transfer-coding",
                        "Transfer-Encoding in HTTP/1.0, or not one list of codings that ends with "
                        "\"chunked\" (RFC 9112, 6.1 and 6.3)",
                        400},
        MessageFaultRow{MessageFault::UnknownTransferCoding, "unknown-transfer-coding",
                        "only \"chunked\" alone can be decoded (RFC 9112, 6.1)", 501},
        MessageFaultRow{MessageFault::HeadTooLong, "head-too-long",
                        "the head is longer than the limit", 431},
        MessageFaultRow{MessageFault::TwoHeads, "two-heads",
                        "one head holds two ids or a second status line", 400},
        MessageFaultRow{MessageFault::Chunk, "bad-chunk", "a chunk is malformed (RFC 9112, 7.1)",
                        400},
        MessageFaultRow{MessageFault::BodyTooLong, "body-too-long",
                        "the body is longer than the limit", 413},
        MessageFaultRow{MessageFault::Incomplete, "incomplete",
                        "the connection ended before the message did (RFC 9112, 8)", 400},
        MessageFaultRow{MessageFault::Reset, "reset",
                        "the connection broke before the message ended (RFC 9112, 8)", 400},
        MessageFaultRow{MessageFault::ExchangeTooLong, "exchange-too-long",
                        "one exchange holds more bytes or responses than the limit", 400},
        MessageFaultRow{MessageFault::NoMemory, "no-memory",
                        "all messages together hold more than the limit", 503},
        MessageFaultRow{MessageFault::OtherExchange, "other-exchange",
                        "the response may belong to an earlier exchange", 400},
        MessageFaultRow{MessageFault::NotFromUpstream, "not-from-upstream",
                        "the response is not marked as the upstream's own", 400},
};

constexpr bool areRowsInEnumOrder()
{
    for (std::size_t i = 0; i < faultRows.size(); ++i) {
        if (faultRows[i].fault != static_cast<MessageFault>(i))
            return false;
    }
    return true;
}

static_assert(faultRows.size() == static_cast<std::size_t>(MessageFault::NotFromUpstream) + 1);
static_assert(areRowsInEnumOrder());

} // namespace

const MessageFaultRow &faultRow(MessageFault fault)
{
    return faultRows.at(static_cast<std::size_t>(fault));
}

} // namespace buckthornford
