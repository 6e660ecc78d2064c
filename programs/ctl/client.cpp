#include "ctl/client.h"

namespace buckthornford {

OperatorClient::Response OperatorClient::exchange(const std::string &method,
                                                  const std::string &path,
                                                  const std::string &body) const
{
    constexpr Duration timeout = std::chrono::seconds(20);
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    Response response;
    const Result<HttpResponse> httpResponse = exchangeOnce(m_node, request, timeout);
    if (!httpResponse) {
        response.text = "cannot reach a node's operator listener at " + m_node.toString() + ": "
                        + httpResponse.error().message();
        return response;
    }
    response.status = httpResponse.value().status;
    response.text = httpResponse.value().body;
    response.body = nlohmann::json::parse(response.text, nullptr, false);
    return response;
}

} // namespace buckthornford
