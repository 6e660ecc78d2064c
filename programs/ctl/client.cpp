#include "ctl/client.h"

namespace buckthornford {

OperatorClient::Reply OperatorClient::exchange(const std::string &method, const std::string &path,
                                               const std::string &body) const
{
    constexpr Duration timeout = std::chrono::seconds(20);
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    Reply reply;
    const Result<HttpResponse> response = exchangeOnce(m_node, request, timeout);
    if (!response) {
        reply.text = "cannot reach the node at " + m_node.toString() + ": "
                     + response.error().message();
        return reply;
    }
    reply.status = response.value().status;
    reply.text = response.value().body;
    reply.body = nlohmann::json::parse(reply.text, nullptr, false);
    return reply;
}

} // namespace buckthornford
