#include "node/http_handlers_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

/// Longest wait for the reply of the node task or membership task.
constexpr Duration taskTimeout = std::chrono::seconds(2);
/// Longest wait for a change in the platform's table, which may take several tries.
constexpr Duration changeTimeout = std::chrono::seconds(15);
constexpr std::size_t maxChangeIdLength = 64;

struct KindRow
{
    std::string_view name;
    Change::Kind kind;
};

constexpr std::array kinds{KindRow{"put", Change::Kind::PutPreset},
                           KindRow{"switch", Change::Kind::SwitchPreset},
                           KindRow{"replace", Change::Kind::ReplaceAll}};

/// The parsed change, or the response that says what is wrong with it.
using ChangeParseResult = boost::outcome_v2::basic_result<Change, HttpResponse,
                                                          boost::outcome_v2::policy::terminate>;

std::string stringMember(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

ChangeParseResult parseChange(const std::string &body)
{
    const auto root = nlohmann::json::parse(body, nullptr, false);
    if (!root.is_object())
        return errorResponse(Error::MalformedJson, "body");
    const std::string kindName = stringMember(root, "kind");
    const auto kind = std::find_if(kinds.begin(), kinds.end(),
                                   [&](const KindRow &row) { return row.name == kindName; });
    if (kind == kinds.end())
        return errorResponse(Error::BadDocument, "kind", "must be put, switch or replace");
    Change change;
    change.kind = kind->kind;
    change.id = ChangeId{stringMember(root, "id")};
    if (!isValidName(change.id.value()) || change.id.value().size() > maxChangeIdLength)
        return errorResponse(Error::BadDocument, "id", "must be 1 to 64 letters, digits, - _ .");
    change.preset = PresetName{stringMember(root, "preset")};
    if (change.kind != Change::Kind::ReplaceAll && change.preset.value().empty())
        return errorResponse(Error::BadDocument, "preset", "is required with kind put or switch");
    if (root.contains("basedOn")) {
        if (!root["basedOn"].is_number_unsigned())
            return errorResponse(Error::BadDocument, "basedOn",
                                 "must be a revision, a whole number from 0");
        change.basedOn = Revision{root["basedOn"].get<std::uint64_t>()};
    }
    if (root.contains("document")) {
        DocumentResult document = readDocument(root["document"]);
        if (!document)
            return errorResponse(document.error().error, "document." + document.error().field,
                                 document.error().detail);
        change.document = std::move(document.value());
    } else if (change.kind != Change::Kind::SwitchPreset) {
        return errorResponse(Error::BadDocument, "document",
                             "is required with kind put or replace");
    }
    return change;
}

nlohmann::json toJson(const Member &member)
{
    return {{"instance", member.peer.instance.value()},
            {"incarnation", toHex(member.peer.incarnation.value())},
            {"service", member.service.value()},
            {"zone", member.zone.value()},
            {"region", member.region.value()},
            {"state", member.displayState()},
            {"slots", member.slots.value()},
            {"callers", member.callersAddress},
            {"operators", member.operatorAddress},
            {"peers", member.peer.address}};
}

} // namespace

HttpResponse OperatorHandler::handle(const HttpRequest &request)
{
    struct EndpointRoute
    {
        std::string_view method;
        std::string_view path;
        HttpResponse (*respond)(OperatorHandler *handler, const HttpRequest &request);
    };
    using Topic = OperatorQuery::Topic;
    static constexpr std::array routes{
            EndpointRoute{"GET", "/status",
                          [](OperatorHandler *handler, const HttpRequest &) {
                              return handler->query(Topic::Status, "application/json");
                          }},
            EndpointRoute{"GET", "/metrics",
                          [](OperatorHandler *handler, const HttpRequest &) {
                              return handler->query(Topic::Metrics, "text/plain; version=0.0.4");
                          }},
            EndpointRoute{"GET", "/spans",
                          [](OperatorHandler *handler, const HttpRequest &) {
                              return handler->query(Topic::Spans, "application/x-ndjson");
                          }},
            EndpointRoute{"GET", "/configuration",
                          [](OperatorHandler *handler, const HttpRequest &) {
                              return handler->query(Topic::Configuration, "application/json");
                          }},
            EndpointRoute{"GET", "/members",
                          [](OperatorHandler *handler, const HttpRequest &) {
                              return handler->listMembers();
                          }},
            EndpointRoute{"POST", "/configuration",
                          [](OperatorHandler *handler, const HttpRequest &change) {
                              return handler->changeConfiguration(change);
                          }},
            EndpointRoute{"POST", "/drain",
                          [](OperatorHandler *handler, const HttpRequest &) {
                              return handler->setDraining(true);
                          }},
            EndpointRoute{"GET", "/poison",
                          [](OperatorHandler *handler, const HttpRequest &) {
                              return handler->query(Topic::Poison, "application/json");
                          }},
            EndpointRoute{"POST", "/poison/release",
                          [](OperatorHandler *handler, const HttpRequest &release) {
                              return handler->releasePoison(release);
                          }},
            EndpointRoute{"POST", "/undrain",
                          [](OperatorHandler *handler, const HttpRequest &) {
                              return handler->setDraining(false);
                          }},
    };
    bool isKnownPath = false;
    for (const EndpointRoute &route : routes) {
        if (route.path != request.path)
            continue;
        if (route.method == request.method)
            return route.respond(this, request);
        isKnownPath = true;
    }
    return isKnownPath ? errorResponse(Error::MethodNotAllowed, "method")
                       : errorResponse(Error::NotFound, "path");
}

HttpResponse OperatorHandler::query(OperatorQuery::Topic topic, const std::string &contentType)
{
    auto reply = std::make_shared<ReplySlot<std::string>>();
    m_tasks.node->post(OperatorQuery{topic, reply});
    auto text = reply->takeWithin(taskTimeout);
    if (!text)
        return errorResponse(Error::Timeout, "");
    HttpResponse response;
    response.contentType = contentType;
    response.body = std::move(*text);
    if (!response.body.ends_with('\n'))
        response.body += '\n';
    return response;
}

HttpResponse OperatorHandler::listMembers()
{
    auto reply = std::make_shared<ReplySlot<std::vector<Member>>>();
    m_tasks.membership->post(MembersRequest{reply});
    const auto members = reply->takeWithin(taskTimeout);
    if (!members)
        return errorResponse(Error::Timeout, "");
    nlohmann::json list = nlohmann::json::array();
    for (const Member &member : *members)
        list.push_back(toJson(member));
    HttpResponse response;
    response.body = nlohmann::json{{"members", list}}.dump() + "\n";
    return response;
}

HttpResponse OperatorHandler::changeConfiguration(const HttpRequest &request)
{
    ChangeParseResult change = parseChange(request.body);
    if (!change)
        return change.error();
    auto reply = std::make_shared<ReplySlot<ChangeOutcome>>();
    m_tasks.configuration->post(ChangeRequest{change.value(), reply});
    const auto outcome = reply->takeWithin(changeTimeout);
    if (!outcome)
        return errorResponse(Error::ChangeUnknown, "id");
    HttpResponse response;
    if (outcome->error != Error::None)
        response = errorResponse(outcome->error, "");
    auto body = response.body.empty() ? nlohmann::json::object()
                                      : nlohmann::json::parse(response.body);
    body["id"] = change.value().id.value();
    body["revision"] = outcome->revision.value();
    if (!outcome->storedChange.value().empty())
        body["winner"] = outcome->storedChange.value();
    response.body = body.dump() + "\n";
    return response;
}

HttpResponse OperatorHandler::releasePoison(const HttpRequest &request)
{
    const auto root = nlohmann::json::parse(request.body, nullptr, false);
    const std::string text = root.is_object() ? stringMember(root, "content") : "";
    const auto content = fromHex(text);
    if (!content)
        return errorResponse(Error::BadDocument, "content",
                             "must be a content hash as GET /poison lists them");
    m_tasks.node->post(
            PoisonEventsReceived{{{ContentHash{*content}, randomNumber(), true}}, std::nullopt});
    HttpResponse response;
    response.body = nlohmann::json{{"released", text}}.dump() + "\n";
    return response;
}

HttpResponse OperatorHandler::setDraining(bool enable)
{
    m_tasks.node->post(DrainRequest{enable});
    HttpResponse response;
    response.body = nlohmann::json{{"draining", enable}}.dump() + "\n";
    return response;
}

} // namespace buckthornford
