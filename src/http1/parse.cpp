#include "http1/parse_p.h"

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

using boost::beast::http::error;

struct BeastErrorRow
{
    error code;
    MessageFault fault;
};

constexpr std::array beastErrorRows{
        BeastErrorRow{error::bad_method, MessageFault::StartLine},
        BeastErrorRow{error::bad_target, MessageFault::StartLine},
        BeastErrorRow{error::bad_version, MessageFault::StartLine},
        BeastErrorRow{error::bad_status, MessageFault::StartLine},
        BeastErrorRow{error::bad_reason, MessageFault::StartLine},
        BeastErrorRow{error::bad_line_ending, MessageFault::LineEnd},
        BeastErrorRow{error::bad_field, MessageFault::FieldName},
        BeastErrorRow{error::bad_value, MessageFault::FieldValue},
        BeastErrorRow{error::bad_obs_fold, MessageFault::FieldValue},
        BeastErrorRow{error::bad_content_length, MessageFault::ContentLength},
        BeastErrorRow{error::bad_transfer_encoding, MessageFault::TransferCoding},
        BeastErrorRow{error::bad_chunk, MessageFault::Chunk},
        BeastErrorRow{error::bad_chunk_extension, MessageFault::Chunk},
        BeastErrorRow{error::header_limit, MessageFault::HeadTooLong},
        BeastErrorRow{error::buffer_overflow, MessageFault::HeadTooLong},
        BeastErrorRow{error::body_limit, MessageFault::BodyTooLong},
        BeastErrorRow{error::bad_alloc, MessageFault::NoMemory},
        BeastErrorRow{error::partial_message, MessageFault::Incomplete},
        BeastErrorRow{error::end_of_stream, MessageFault::Incomplete},
};

constexpr unsigned firstStatusCode = 100;
constexpr unsigned lastStatusCode = 599;

} // namespace

bool isStatusCode(unsigned status)
{
    return status >= firstStatusCode && status <= lastStatusCode;
}

bool hasFoldedLine(std::string_view bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string_view::npos)
        return false;
    const std::string_view head = bytes.substr(0, end);
    return head.find("\r\n ") != std::string_view::npos
           || head.find("\r\n\t") != std::string_view::npos;
}

MessageFault faultOf(const boost::system::error_code &error)
{
    const auto row
            = std::find_if(beastErrorRows.begin(), beastErrorRows.end(),
                           [&error](const BeastErrorRow &each) { return error == each.code; });
    return row == beastErrorRows.end() ? MessageFault::StartLine : row->fault;
}

} // namespace buckthornford
