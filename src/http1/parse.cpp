#include "http1/parse_p.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <iterator>
#include <vector>

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

/// Returns the members of a Transfer-Encoding field, empty ones included, without blanks.
std::vector<std::string> splitCodings(const std::string &value)
{
    std::vector<std::string> names;
    for (std::size_t start = 0; start <= value.size(); start += names.back().size() + 1)
        names.emplace_back(value.substr(start, value.find(',', start) - start));
    for (std::string &name : names) {
        const std::size_t first = name.find_first_not_of(" \t");
        const std::size_t last = name.find_last_not_of(" \t");
        name = first == std::string::npos ? std::string() : name.substr(first, last - first + 1);
    }
    return names;
}

/// Returns whether \a name is a name without parameters (a token, RFC 9110, 5.6.2).
bool isToken(const std::string &name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [marks](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0
               || marks.find(c) != std::string_view::npos;
    });
}

} // namespace

MessageFault framingFault(const boost::beast::http::fields &fields, unsigned version)
{
    constexpr unsigned http11 = 11;
    const auto codings = fields.equal_range(boost::beast::http::field::transfer_encoding);
    if (codings.first == codings.second)
        return MessageFault::None;
    const bool isSingle = std::next(codings.first) == codings.second;
    if (version < http11 || !isSingle)
        return MessageFault::TransferCoding;
    const std::vector<std::string> names = splitCodings(std::string(codings.first->value()));
    const auto isChunked
            = [](const std::string &name) { return boost::beast::iequals(name, "chunked"); };
    const bool endsChunkedOnce = std::count_if(names.begin(), names.end(), isChunked) == 1
                                 && isChunked(names.back())
                                 && std::all_of(names.begin(), names.end(), isToken);
    if (!endsChunkedOnce)
        return MessageFault::TransferCoding;
    return names.size() > 1 ? MessageFault::UnknownTransferCoding : MessageFault::None;
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
