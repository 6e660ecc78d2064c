#pragma once

#include "http_blocking/http_blocking.h"

#include <nlohmann/json.hpp>

#include <string>

namespace buckthornford {

/// HTTP client of one node's operator listener.
class OperatorClient
{
public:
    explicit OperatorClient(Endpoint node)
        : m_node(std::move(node))
    {}

    /// A response of the node, or the reason why there is none.
    struct Response
    {
        int status = 0;      ///< HTTP status; 0 if the request got no response
        std::string text;    ///< the body as received, or the error if status is 0
        nlohmann::json body; ///< the body parsed; discarded or null if it is not JSON
    };

    Response get(const std::string &path) const { return exchange("GET", path, ""); }
    Response post(const std::string &path, const std::string &body) const
    {
        return exchange("POST", path, body);
    }

private:
    Response exchange(const std::string &method, const std::string &path,
                      const std::string &body) const;

    Endpoint m_node;
};

} // namespace buckthornford
