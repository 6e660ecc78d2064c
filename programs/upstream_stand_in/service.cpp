#include "upstream_stand_in/service.h"

#include "call/call.h"
#include "telemetry/telemetry.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <unistd.h>

namespace buckthornford {

namespace {

constexpr Duration taskTimeout = std::chrono::seconds(5);
constexpr Duration defaultTimeout = std::chrono::seconds(10);
constexpr int crashStatus = 134;
constexpr std::string_view cancelPrefix = "/buckthornford/cancel/";

std::string headerOr(const HttpRequest &request, const char *header, const std::string &otherwise)
{
    const std::string *found = findHeader(request.headers, header);
    return found == nullptr ? otherwise : *found;
}

Duration timeoutOf(const HttpRequest &request)
{
    const std::string text = headerOr(request, timeoutHeader, "");
    return isWholeNumber(text, 1, INT32_MAX) ? std::chrono::milliseconds(std::stoll(text))
                                             : defaultTimeout;
}

HttpResponse jsonResponse(const nlohmann::json &body)
{
    HttpResponse response;
    response.body = body.dump();
    return response;
}

HttpResponse failure(int status, std::string_view reason)
{
    HttpResponse response = jsonResponse({{"error", reason}});
    response.status = status;
    return response;
}

/// The request's body is a JSON object with the caller's nonce and the size of the answer.
struct Order
{
    std::string nonce;
    std::size_t size = 0;
    bool crash = false;
};

Order parseOrder(const HttpRequest &request)
{
    Order order;
    const std::string text = request.body.empty() ? request.query : request.body;
    const auto root = nlohmann::json::parse(text, nullptr, false);
    if (root.is_object()) {
        order.nonce = root.value("nonce", "");
        order.size = root.value("size", std::size_t{0});
        order.crash = root.value("crash", false);
        return order;
    }
    // A request without a body carries "nonce=N&size=N" in its query.
    for (const std::string &part : splitList(request.query, '&')) {
        const std::size_t equals = part.find('=');
        const std::string key = part.substr(0, equals);
        const std::string value = equals == std::string::npos ? "" : part.substr(equals + 1);
        if (key == "nonce")
            order.nonce = value;
        else if (key == "size" && isWholeNumber(value, 0, 10'000'000))
            order.size = std::stoul(value);
        else if (key == "crash")
            order.crash = value == "1";
    }
    return order;
}

} // namespace

Service::Service(ServiceSettings settings, Executor *workshop)
    : m_settings(std::move(settings))
    , m_executor(workshop)
    , m_dropsContext(m_settings.dropsContext)
{}

HttpResponse Service::handle(const HttpRequest &request)
{
    if (request.path == "/ledger")
        return ledger();
    if (request.path == "/counters")
        return counters();
    if (request.path == "/behaviour" && request.method == "POST")
        return changeBehaviour(request);
    if (request.path.starts_with(cancelPrefix)) {
        m_executor->post(ExecutionCancelled{request.path.substr(cancelPrefix.size())});
        return jsonResponse(nlohmann::json::object());
    }
    return execute(request);
}

HttpResponse Service::execute(const HttpRequest &request)
{
    const Order order = parseOrder(request);
    const std::string operation = request.path.substr(1);
    const double costFactor = operation.starts_with("long") ? m_settings.longFactor : 1.0;
    auto reply = std::make_shared<ReplySlot<ExecutionResult>>();
    const std::string execution = headerOr(request, contextHeader, "");
    m_executor->post(ExecutionRequest{execution, order.nonce, costFactor, reply});
    if (order.crash && m_settings.mayCrash) {
        logEvent(LogLevel::Error, "crashing", {{"nonce", order.nonce}});
        _exit(crashStatus);
    }
    const auto ending = reply->takeWithin(timeoutOf(request));
    if (!ending) {
        m_executor->post(ExecutionCancelled{execution});
        return failure(504, "deadline");
    }
    if (*ending == ExecutionResult::Shed) {
        HttpResponse response = failure(503, "shed");
        response.headers.emplace_back(notRunHeader, "true");
        return response;
    }
    if (*ending == ExecutionResult::Cancelled)
        return failure(499, "cancelled");
    if (*ending == ExecutionResult::Failed)
        return failure(500, "failed");
    for (std::uint32_t i = 0; !m_settings.next.empty() && i < m_settings.fanOut; ++i) {
        const HttpResponse next = callNext(request);
        if (next.status != 200)
            return failure(next.status == 0 ? 502 : 503, "next service");
    }
    return jsonResponse({{"service", m_settings.service},
                         {"instance", m_settings.instance},
                         {"operation", operation},
                         {"nonce", order.nonce},
                         {"padding", std::string(order.size, 'x')}});
}

/// Calls the next service through this upstream's own node, for the same execution.
HttpResponse Service::callNext(const HttpRequest &request) const
{
    // One connection for each thread of the server, as a handler runs on one thread.
    thread_local std::optional<HttpConnection> connection;
    HttpRequest call = request;
    call.path = "/call/" + m_settings.next + request.path;
    call.headers.clear();
    if (!m_dropsContext)
        call.headers.emplace_back(contextHeader, headerOr(request, contextHeader, ""));
    call.headers.emplace_back("Content-Type", "application/json");
    if (!connection) {
        Result<HttpConnection> opened = HttpConnection::connect(m_settings.node);
        if (!opened)
            return failure(502, "node");
        connection.emplace(std::move(opened.value()));
    }
    Result<HttpResponse> response = connection->exchange(call, timeoutOf(request));
    if (!response || connection->mustClose())
        connection.reset();
    return response ? std::move(response.value()) : failure(502, "node");
}

HttpResponse Service::ledger()
{
    auto reply = std::make_shared<ReplySlot<std::unordered_map<std::string, LedgerRow>>>();
    m_executor->post(LedgerRequest{reply});
    const auto rows = reply->takeWithin(taskTimeout);
    nlohmann::json body = nlohmann::json::object();
    if (rows) {
        for (const auto &[nonce, row] : *rows)
            body[nonce] = {row.started, row.ended};
    }
    return jsonResponse({{"service", m_settings.service}, {"rows", body}});
}

HttpResponse Service::counters()
{
    auto reply = std::make_shared<ReplySlot<CountersRequest::Counters>>();
    m_executor->post(CountersRequest{reply});
    const auto counters = reply->takeWithin(taskTimeout);
    if (!counters)
        return errorResponse(Error::Timeout, "");
    return jsonResponse({{"started", counters->started},
                         {"ended", counters->ended},
                         {"shed", counters->shed},
                         {"cancelled", counters->cancelled},
                         {"running", counters->running},
                         {"waiting", counters->waiting}});
}

HttpResponse Service::changeBehaviour(const HttpRequest &request)
{
    const auto root = nlohmann::json::parse(request.body, nullptr, false);
    if (!root.is_object())
        return errorResponse(Error::MalformedJson, "body");
    auto reply = std::make_shared<ReplySlot<CountersRequest::Counters>>();
    m_executor->post(CountersRequest{reply});
    const auto counters = reply->takeWithin(taskTimeout);
    if (!counters)
        return errorResponse(Error::Timeout, "");
    Behaviour behaviour = counters->behaviour;
    behaviour.meanMs = root.value("meanMs", behaviour.meanMs);
    behaviour.slowFactor = root.value("slowFactor", behaviour.slowFactor);
    behaviour.slots = root.value("slots", behaviour.slots);
    behaviour.knee = root.value("knee", behaviour.knee);
    behaviour.shedAbove = root.value("shedAbove", behaviour.shedAbove);
    behaviour.failShare = root.value("failShare", behaviour.failShare);
    behaviour.stallDuration = std::chrono::milliseconds(root.value("stallMs", 0));
    m_dropsContext = root.value("dropContext", m_dropsContext.load());
    m_executor->post(BehaviourChanged{behaviour});
    return jsonResponse(nlohmann::json::object());
}

} // namespace buckthornford
