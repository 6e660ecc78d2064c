#include "node/http_handlers_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

constexpr std::int64_t maxTimeoutMilliseconds = 3'600'000;
constexpr std::uint64_t maxReportedLoad = 1'000'000;
constexpr std::int64_t maxKeysAtOnce = 1000;
constexpr std::size_t maxKeyLength = 256;
/// How often a waiting handler checks whether the client has closed its connection.
constexpr Duration clientCheckInterval = std::chrono::milliseconds(50);
/// Longest wait for the reply of the node task.
constexpr Duration taskTimeout = std::chrono::seconds(5);
constexpr std::string_view callPrefix = "/call/";
constexpr std::string_view keysPrefix = "/keys/";

struct MethodRow
{
    std::string_view name;
    bool isIdempotent; ///< RFC 9110, section 9.2.2
};

constexpr std::array methods{MethodRow{"GET", true},   MethodRow{"HEAD", true},
                             MethodRow{"PUT", true},   MethodRow{"DELETE", true},
                             MethodRow{"POST", false}, MethodRow{"PATCH", false}};

/// Why a request is refused, and the header or other part of it that is wrong.
struct RequestError
{
    Error error = Error::None;
    std::string field;
};
/// The parsed call, or why it is refused.
using ParseResult = boost::outcome_v2::basic_result<CallRequest, RequestError,
                                                    boost::outcome_v2::policy::terminate>;

RequestId nextRequestId()
{
    static std::atomic<std::uint64_t> last{0};
    return RequestId{++last};
}

/// Parses "/call/SERVICE/OPERATION"; the operation may contain further slashes.
std::optional<RequestError> parsePath(std::string_view path, Work *work)
{
    path.remove_prefix(callPrefix.size());
    const std::size_t slash = path.find('/');
    if (slash == std::string_view::npos || slash == 0 || slash + 1 == path.size())
        return RequestError{Error::MalformedPath, "path"};
    work->service = ServiceName{std::string(path.substr(0, slash))};
    work->operation = OperationName{std::string(path.substr(slash + 1))};
    if (!isValidName(work->service.value()))
        return RequestError{Error::MalformedPath, "path"};
    return std::nullopt;
}

std::optional<RequestError> parseMethod(const HttpRequest &request, Work *work)
{
    const auto method = std::find_if(methods.begin(), methods.end(), [&](const MethodRow &row) {
        return row.name == request.method;
    });
    if (method == methods.end())
        return RequestError{Error::MethodNotAllowed, "method"};
    work->method = request.method;
    work->idempotent = method->isIdempotent;
    return std::nullopt;
}

std::optional<RequestError> parseName(const HttpRequest &request, const char *header,
                                      bool isRequired, std::string *value)
{
    const std::string *found = findHeader(request.headers, header);
    if (found == nullptr)
        return isRequired ? std::optional(RequestError{Error::MissingHeader, header})
                          : std::nullopt;
    if (!isValidName(*found))
        return RequestError{Error::MalformedHeader, header};
    *value = *found;
    return std::nullopt;
}

std::optional<RequestError> parseTimeout(const HttpRequest &request,
                                         std::optional<Duration> *timeout)
{
    const std::string *found = findHeader(request.headers, timeoutHeader);
    if (found == nullptr)
        return std::nullopt;
    if (!isWholeNumber(*found, 1, maxTimeoutMilliseconds))
        return RequestError{Error::BadTimeout, timeoutHeader};
    *timeout = std::chrono::milliseconds(std::stoll(*found));
    return std::nullopt;
}

std::optional<RequestError> parseContext(const HttpRequest &request, CallRequest *call)
{
    const std::string *found = findHeader(request.headers, contextHeader);
    if (found == nullptr)
        return std::nullopt;
    const auto id = fromHex(*found);
    if (!id)
        return RequestError{Error::MalformedHeader, contextHeader};
    call->parent = ExecutionId{*id};
    return std::nullopt;
}

std::optional<RequestError> parseHeaders(const HttpRequest &request, bool isFromCaller,
                                         CallRequest *call)
{
    std::string className;
    std::string caller;
    if (auto error = parseName(request, classHeader, isFromCaller, &className))
        return error;
    if (auto error = parseName(request, callerHeader, isFromCaller, &caller))
        return error;
    call->work.className = ClassName{className};
    call->work.caller = CallerName{caller};
    if (auto error = parseTimeout(request, &call->timeout))
        return error;
    if (const std::string *key = findHeader(request.headers, keyHeader)) {
        if (key->empty() || key->size() > maxKeyLength)
            return RequestError{Error::MalformedHeader, keyHeader};
        call->work.key = *key;
    }
    if (const std::string *type = findHeader(request.headers, "Content-Type"))
        call->work.contentType = *type;
    if (const std::string *header = findHeader(request.headers, traceHeader)) {
        // A malformed trace header is ignored and a new trace starts, as W3C Trace Context
        // requires.
        if (const Result<TraceContext> trace = TraceContext::parse(*header))
            call->trace = trace.value();
    }
    return std::nullopt;
}

ParseResult parseCall(const HttpRequest &request, CallHandler::Client client)
{
    CallRequest call;
    const bool isFromCaller = client == CallHandler::Client::Callers;
    call.isFromUpstream = !isFromCaller;
    if (auto error = parsePath(request.path, &call.work))
        return *error;
    if (auto error = parseMethod(request, &call.work))
        return *error;
    if (auto error = parseHeaders(request, isFromCaller, &call))
        return *error;
    if (!isFromCaller) {
        if (auto error = parseContext(request, &call))
            return *error;
    }
    call.work.query = request.query;
    call.work.body = request.body;
    return call;
}

/// Returns the part of the request that \a error refers to; empty if it refers to none.
std::string_view offendingField(Error error)
{
    switch (error) {
    case Error::UnknownService:
        return "service";
    case Error::UnknownClass:
        return classHeader;
    case Error::BadKey:
    case Error::KeyExpired:
    case Error::KeyRefused:
    case Error::KeyOwnerGone:
        return keyHeader;
    case Error::ExecutionEnded:
        return contextHeader;
    default:
        return {};
    }
}

HttpResponse makeResponse(CallResult &&result)
{
    Answer &answer = result.answer;
    HttpResponse response;
    const bool hasUpstreamResponse = answer.status != 0;
    if (hasUpstreamResponse) {
        response.status = answer.status;
        response.contentType = std::move(answer.contentType);
        response.body = std::move(answer.body);
        response.headers.emplace_back(checksumHeader, toHex(answer.bodyChecksum));
    } else {
        response = errorResponse(answer.reason, offendingField(answer.reason));
        auto body = nlohmann::json::parse(response.body);
        body["outcome"] = outcomeName(answer.outcome);
        response.body = body.dump() + "\n";
        response.headers.emplace_back(checksumHeader, toHex(checksum(response.body)));
    }
    response.headers.emplace_back(outcomeHeader, outcomeName(answer.outcome));
    response.headers.emplace_back(attemptsHeader, std::to_string(result.attempts.value()));
    response.headers.emplace_back(traceHeader, result.span.context.toHeader());
    if (answer.reason != Error::None)
        response.headers.emplace_back(reasonHeader, errorRow(answer.reason).name);
    if (answer.replayed)
        response.headers.emplace_back(replayedHeader, "true");
    return response;
}

/// Parses the JSON text of an announcement. On failure, \a field names the member that is wrong; it
/// stays empty if \a body is no JSON object.
Result<Announcement> parseAnnouncement(const std::string &body, std::string *field)
{
    const auto root = nlohmann::json::parse(body, nullptr, false);
    if (!root.is_object())
        return Error::MalformedJson;
    const auto text = [&](const char *key) -> std::string {
        const auto found = root.find(key);
        return found != root.end() && found->is_string() ? found->get<std::string>() : "";
    };
    Announcement announcement;
    announcement.service = ServiceName{text("service")};
    announcement.startId = text("startId");
    announcement.isLeaving = text("state") == "leaving";
    const Result<Endpoint> address = parseEndpoint(text("address"));
    const auto slots = root.find("slots");
    const bool hasSlots = slots != root.end() && slots->is_number_unsigned()
                          && slots->get<std::uint64_t>() >= 1
                          && slots->get<std::uint64_t>() <= 100'000;
    const auto load = root.find("load");
    const bool hasLoad = load != root.end();
    const bool isLoadValid
            = !hasLoad
              || (load->is_number_unsigned() && load->get<std::uint64_t>() <= maxReportedLoad);
    if (!isValidName(announcement.service.value()))
        *field = "service";
    else if (!address)
        *field = "address";
    else if (!hasSlots)
        *field = "slots";
    else if (!isLoadValid)
        *field = "load";
    if (!field->empty())
        return Error::BadSetting;
    if (hasLoad)
        announcement.load = load->get<std::uint32_t>();
    announcement.address = address.value();
    announcement.slots = Slots{slots->get<std::uint32_t>()};
    return announcement;
}

} // namespace

HttpResponse CallHandler::handle(const HttpRequest &request)
{
    if (request.path.starts_with(callPrefix))
        return handleCall(request);
    if (request.path.starts_with(keysPrefix))
        return makeKeys(request);
    if (request.path == "/announce" && m_client == Client::Upstream)
        return handleAnnouncement(request);
    return errorResponse(Error::NotFound, "path");
}

HttpResponse CallHandler::handleCall(const HttpRequest &request)
{
    ParseResult parsed = parseCall(request, m_client);
    if (!parsed)
        return errorResponse(parsed.error().error, parsed.error().field);
    const RequestId id = nextRequestId();
    auto reply = std::make_shared<ReplySlot<CallResult>>();
    m_tasks.node->post(CallReceived{id, std::move(parsed.value()), reply});
    return waitForResult(id, request, reply);
}

HttpResponse CallHandler::waitForResult(RequestId id, const HttpRequest &request,
                                        const std::shared_ptr<ReplySlot<CallResult>> &reply)
{
    bool isCancelled = false;
    while (true) {
        if (auto result = reply->takeWithin(clientCheckInterval))
            return makeResponse(std::move(*result));
        if (!isCancelled && request.connection.isClosed()) {
            isCancelled = true;
            m_tasks.node->post(CallAbandoned{id});
        }
    }
}

HttpResponse CallHandler::makeKeys(const HttpRequest &request)
{
    const std::string service = request.path.substr(keysPrefix.size());
    if (!isValidName(service))
        return errorResponse(Error::MalformedPath, "path", "must be /keys/SERVICE?count=N");
    std::string count = "1";
    if (request.query.starts_with("count="))
        count = request.query.substr(6);
    if (!isWholeNumber(count, 1, maxKeysAtOnce))
        return errorResponse(Error::MalformedPath, "count",
                             "must be a whole number from 1 to 1000");
    auto reply = std::make_shared<ReplySlot<KeysResult>>();
    m_tasks.node->post(KeysRequest{ServiceName{service}, std::stoul(count), reply});
    const auto result = reply->takeWithin(taskTimeout);
    if (!result)
        return errorResponse(Error::Internal, "");
    if (!*result)
        return errorResponse(errorOf(result->error()), "service");
    HttpResponse response;
    response.body = nlohmann::json{{"keys", result->value()},
                                   {"lifeMs", m_keyLife / std::chrono::milliseconds(1)}}
                            .dump()
                    + "\n";
    return response;
}

HttpResponse CallHandler::handleAnnouncement(const HttpRequest &request)
{
    std::string field;
    Result<Announcement> announcement = parseAnnouncement(request.body, &field);
    if (!announcement)
        return errorResponse(errorOf(announcement.error()), field);
    auto reply = std::make_shared<ReplySlot<bool>>();
    m_tasks.node->post(UpstreamAnnounced{std::move(announcement.value()), reply});
    const auto isDrained = reply->takeWithin(taskTimeout);
    if (!isDrained)
        return errorResponse(Error::Internal, "");
    HttpResponse response;
    response.body = nlohmann::json{{"drained", *isDrained}}.dump() + "\n";
    return response;
}

} // namespace buckthornford
