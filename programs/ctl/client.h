#pragma once

#include "http_blocking/http_blocking.h"

#include <nlohmann/json.hpp>

#include <string>

namespace buckthornford {

/// Talks to the operators' door of one node.
class OperatorClient
{
public:
    explicit OperatorClient(Endpoint node)
        : m_node(std::move(node))
    {}

    struct Reply
    {
        int status = 0; ///< 0 if the node can't be reached
        std::string text;
        nlohmann::json body; ///< null if the answer is no JSON
    };

    Reply read(const std::string &path) const { return exchange("GET", path, ""); }
    Reply post(const std::string &path, const std::string &body) const
    {
        return exchange("POST", path, body);
    }

private:
    Reply exchange(const std::string &method, const std::string &path,
                   const std::string &body) const;

    Endpoint m_node;
};

} // namespace buckthornford
