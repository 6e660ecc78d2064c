#include "upstream_stand_in/service.h"

#include "call/call.h"
#include "telemetry/telemetry.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <unistd.h>

namespace buckthornford {

namespace {

constexpr Duration taskTimeout = std::chrono::seconds(5);
constexpr Duration defaultRequestTimeout = std::chrono::seconds(10);
constexpr int crashStatus = 134; ///< exit status after SIGABRT, as a shell shows it
constexpr std::string_view cancelPrefix = "/buckthornford/cancel/";

/// Returns the value of \a header, or \a fallback if the request has none.
std::string headerOr(const HttpRequest &request, const char *header, const std::string &fallback)
{
    const std::string *found = findHeader(request.headers, header);
    return found == nullptr ? fallback : *found;
}

/// Returns the request's timeout; the default if the header is missing or malformed.
Duration timeoutOf(const HttpRequest &request)
{
    const std::string text = headerOr(request, timeoutHeader, "");
    return isWholeNumber(text, 1, INT32_MAX) ? std::chrono::milliseconds(std::stoll(text))
                                             : defaultRequestTimeout;
}

HttpResponse jsonResponse(const nlohmann::json &body)
{
    HttpResponse response;
    response.body = body.dump();
    return response;
}

HttpResponse failureResponse(int status, std::string_view reason)
{
    HttpResponse response = jsonResponse({{"error", reason}});
    response.status = status;
    return response;
}

/// What a request asks of the stand-in: a JSON object in the body, or fields in the query.
struct WorkRequest
{
    std::string nonce;    ///< names the request in the ledger
    std::size_t size = 0; ///< bytes of padding in the response
    bool crash = false;   ///< end the process if the settings allow it
};

WorkRequest parseWorkRequest(const HttpRequest &request)
{
    WorkRequest work;
    const std::string text = request.body.empty() ? request.query : request.body;
    const auto root = nlohmann::json::parse(text, nullptr, false);
    if (root.is_object()) {
        work.nonce = root.value("nonce", "");
        work.size = root.value("size", std::size_t{0});
        work.crash = root.value("crash", false);
        return work;
    }
    // A request without a body carries "nonce=N&size=N" in its query.
    for (const std::string &part : splitList(request.query, '&')) {
        const std::size_t equals = part.find('=');
        const std::string key = part.substr(0, equals);
        const std::string value = equals == std::string::npos ? "" : part.substr(equals + 1);
        if (key == "nonce")
            work.nonce = value;
        else if (key == "size" && isWholeNumber(value, 0, 10'000'000))
            work.size = std::stoul(value);
        else if (key == "crash")
            work.crash = value == "1";
    }
    return work;
}

} // namespace

Service::Service(ServiceSettings settings, Executor *executor)
    : m_settings(std::move(settings))
    , m_executor(executor)
    , m_dropsContext(m_settings.dropsContext)
{}

HttpResponse Service::handle(const HttpRequest &request)
{
    if (request.path == "/ledger")
        return showLedger();
    if (request.path == "/counters")
        return showCounters();
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
    const WorkRequest work = parseWorkRequest(request);
    const std::string operation = request.path.substr(1);
    const double costFactor = operation.starts_with("long") ? m_settings.longFactor : 1.0;
    auto reply = std::make_shared<ReplySlot<ExecutionResult>>();
    const std::string execution = headerOr(request, contextHeader, "");
    m_executor->post(ExecutionRequest{execution, work.nonce, costFactor, reply});
    if (work.crash && m_settings.mayCrash) {
        logEvent(LogLevel::Error, "crashing", {{"nonce", work.nonce}});
        _exit(crashStatus);
    }
    const auto result = reply->takeWithin(timeoutOf(request));
    if (!result) {
        m_executor->post(ExecutionCancelled{execution});
        return failureResponse(504, "deadline");
    }
    if (*result == ExecutionResult::Shed) {
        HttpResponse response = failureResponse(503, "shed");
        response.headers.emplace_back(notRunHeader, "true");
        return response;
    }
    if (*result == ExecutionResult::Cancelled)
        return failureResponse(499, "cancelled");
    if (*result == ExecutionResult::Failed)
        return failureResponse(500, "failed");
    for (std::uint32_t i = 0; !m_settings.next.empty() && i < m_settings.fanOut; ++i) {
        const HttpResponse next = callNext(request);
        if (next.status != 200)
            return failureResponse(next.status == 0 ? 502 : 503, "next service failed");
    }
    return jsonResponse({{"service", m_settings.service},
                         {"instance", m_settings.instance},
                         {"operation", operation},
                         {"nonce", work.nonce},
                         {"padding", std::string(work.size, 'x')}});
}

HttpResponse Service::callNext(const HttpRequest &request) const
{
    // Each server thread has a connection of its own: a handler runs on one thread from start to
    // end, and a connection carries one exchange at a time.
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
            return failureResponse(502, "no response from the node");
        connection.emplace(std::move(opened.value()));
    }
    Result<HttpResponse> response = connection->exchange(call, timeoutOf(request));
    if (!response || connection->mustClose())
        connection.reset();
    return response ? std::move(response.value())
                    : failureResponse(502, "no response from the node");
}

HttpResponse Service::showLedger()
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

HttpResponse Service::showCounters()
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
