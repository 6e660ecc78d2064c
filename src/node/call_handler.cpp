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
constexpr Duration callerCheckInterval = std::chrono::milliseconds(50);
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

/// What was wrong with a request, or the request as the entry takes it.
struct Fault
{
    Error error = Error::None;
    std::string field;
};
using ParseResult
        = boost::outcome_v2::basic_result<CallRequest, Fault, boost::outcome_v2::policy::terminate>;

RequestId nextRequest()
{
    static std::atomic<std::uint64_t> last{0};
    return RequestId{++last};
}

/// Parses "/call/SERVICE/OPERATION"; the operation may contain further slashes.
std::optional<Fault> parsePath(std::string_view path, Work *work)
{
    path.remove_prefix(callPrefix.size());
    const std::size_t slash = path.find('/');
    if (slash == std::string_view::npos || slash == 0 || slash + 1 == path.size())
        return Fault{Error::MalformedPath, "path"};
    work->service = ServiceName{std::string(path.substr(0, slash))};
    work->operation = OperationName{std::string(path.substr(slash + 1))};
    if (!isValidName(work->service.value()))
        return Fault{Error::MalformedPath, "path"};
    return std::nullopt;
}

std::optional<Fault> parseMethod(const HttpRequest &request, Work *work)
{
    const auto method = std::find_if(methods.begin(), methods.end(), [&](const MethodRow &row) {
        return row.name == request.method;
    });
    if (method == methods.end())
        return Fault{Error::MethodNotAllowed, "method"};
    work->method = request.method;
    work->idempotent = method->isIdempotent;
    return std::nullopt;
}

std::optional<Fault> parseName(const HttpRequest &request, const char *header, bool isRequired,
                               std::string *value)
{
    const std::string *found = findHeader(request.headers, header);
    if (found == nullptr)
        return isRequired ? std::optional(Fault{Error::MissingHeader, header}) : std::nullopt;
    if (!isValidName(*found))
        return Fault{Error::MalformedHeader, header};
    *value = *found;
    return std::nullopt;
}

std::optional<Fault> parseTimeout(const HttpRequest &request, std::optional<Duration> *timeout)
{
    const std::string *found = findHeader(request.headers, timeoutHeader);
    if (found == nullptr)
        return std::nullopt;
    if (!isWholeNumber(*found, 1, maxTimeoutMilliseconds))
        return Fault{Error::BadTimeout, timeoutHeader};
    *timeout = std::chrono::milliseconds(std::stoll(*found));
    return std::nullopt;
}

std::optional<Fault> parseContext(const HttpRequest &request, CallRequest *call)
{
    const std::string *found = findHeader(request.headers, contextHeader);
    if (found == nullptr)
        return std::nullopt;
    const auto id = fromHex(*found);
    if (!id)
        return Fault{Error::MalformedHeader, contextHeader};
    call->parent = ExecutionId{*id};
    return std::nullopt;
}

std::optional<Fault> parseHeaders(const HttpRequest &request, bool isFromCaller, CallRequest *call)
{
    std::string className;
    std::string caller;
    if (auto fault = parseName(request, classHeader, isFromCaller, &className))
        return fault;
    if (auto fault = parseName(request, callerHeader, isFromCaller, &caller))
        return fault;
    call->work.className = ClassName{className};
    call->work.caller = CallerName{caller};
    if (auto fault = parseTimeout(request, &call->timeout))
        return fault;
    if (const std::string *key = findHeader(request.headers, keyHeader)) {
        if (key->empty() || key->size() > maxKeyLength)
            return Fault{Error::MalformedHeader, keyHeader};
        call->work.key = *key;
    }
    if (const std::string *type = findHeader(request.headers, "Content-Type"))
        call->work.contentType = *type;
    if (const std::string *header = findHeader(request.headers, traceHeader)) {
        // A malformed one starts a new trace, as W3C Trace Context asks.
        if (const Result<TraceContext> trace = TraceContext::parse(*header))
            call->trace = trace.value();
    }
    return std::nullopt;
}

ParseResult parseCall(const HttpRequest &request, CallHandler::Kind kind)
{
    CallRequest call;
    const bool isFromCaller = kind == CallHandler::Kind::Callers;
    call.isFromUpstream = !isFromCaller;
    if (auto fault = parsePath(request.path, &call.work))
        return *fault;
    if (auto fault = parseMethod(request, &call.work))
        return *fault;
    if (auto fault = parseHeaders(request, isFromCaller, &call))
        return *fault;
    if (!isFromCaller) {
        if (auto fault = parseContext(request, &call))
            return *fault;
    }
    call.work.query = request.query;
    call.work.body = request.body;
    return call;
}

std::string_view fieldOf(Error error)
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

HttpResponse responseOf(CallResult &&result)
{
    Answer &answer = result.answer;
    HttpResponse response;
    const bool hasUpstreamAnswer = answer.status != 0;
    if (hasUpstreamAnswer) {
        response.status = answer.status;
        response.contentType = std::move(answer.contentType);
        response.body = std::move(answer.body);
        response.headers.emplace_back(checksumHeader, toHex(answer.bodyChecksum));
    } else {
        response = errorResponse(answer.reason, fieldOf(answer.reason));
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
    const bool isLoadGood
            = !hasLoad
              || (load->is_number_unsigned() && load->get<std::uint64_t>() <= maxReportedLoad);
    if (!isValidName(announcement.service.value()))
        *field = "service";
    else if (!address)
        *field = "address";
    else if (!hasSlots)
        *field = "slots";
    else if (!isLoadGood)
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
        return call(request);
    if (request.path.starts_with(keysPrefix))
        return keys(request);
    if (request.path == "/announce" && m_kind == Kind::Upstream)
        return announce(request);
    return errorResponse(Error::NotFound, "path");
}

HttpResponse CallHandler::call(const HttpRequest &request)
{
    ParseResult parsed = parseCall(request, m_kind);
    if (!parsed)
        return errorResponse(parsed.error().error, parsed.error().field);
    const RequestId id = nextRequest();
    auto reply = std::make_shared<ReplySlot<CallResult>>();
    m_tasks.node->post(CallReceived{id, std::move(parsed.value()), reply});
    return waitFor(id, request, reply);
}

HttpResponse CallHandler::waitFor(RequestId id, const HttpRequest &request,
                                  const std::shared_ptr<ReplySlot<CallResult>> &reply)
{
    bool isCancelled = false;
    while (true) {
        if (auto result = reply->takeWithin(callerCheckInterval))
            return responseOf(std::move(*result));
        if (!isCancelled && request.connection.isClosed()) {
            isCancelled = true;
            m_tasks.node->post(CallAbandoned{id});
        }
    }
}

HttpResponse CallHandler::keys(const HttpRequest &request)
{
    const std::string service = request.path.substr(keysPrefix.size());
    if (!isValidName(service))
        return errorResponse(Error::MalformedPath, "path", "use /keys/SERVICE?count=N");
    std::string count = "1";
    if (request.query.starts_with("count="))
        count = request.query.substr(6);
    if (!isWholeNumber(count, 1, maxKeysAtOnce))
        return errorResponse(Error::MalformedPath, "count", "use a whole number from 1 to 1000");
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

HttpResponse CallHandler::announce(const HttpRequest &request)
{
    std::string field;
    Result<Announcement> announcement = parseAnnouncement(request.body, &field);
    if (!announcement)
        return errorResponse(errorOf(announcement.error()), field);
    auto drained = std::make_shared<ReplySlot<bool>>();
    m_tasks.node->post(UpstreamAnnounced{std::move(announcement.value()), drained});
    const auto answer = drained->takeWithin(taskTimeout);
    if (!answer)
        return errorResponse(Error::Internal, "");
    HttpResponse response;
    response.body = nlohmann::json{{"drained", *answer}}.dump() + "\n";
    return response;
}

} // namespace buckthornford
