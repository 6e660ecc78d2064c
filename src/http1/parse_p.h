#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <stdexcept>
#include <string>

namespace buckthornford {

/// Lets \a parser take what it can from the start of \a bytes and returns how much that was. Beast
/// reports most errors by \a error, but a field that is longer than it can hold by an exception:
/// that becomes header_limit, and the parser can't be used any more.
template <class Parser>
std::size_t parseSome(Parser *parser, const std::string &bytes, boost::system::error_code *error)
{
    try {
        return parser->put(boost::asio::buffer(bytes), *error);
    } catch (const std::length_error &) {
        *error = boost::beast::http::error::header_limit;
        return 0;
    }
}

} // namespace buckthornford
