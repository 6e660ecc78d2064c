#include "node/http_handlers_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

constexpr Duration taskTimeout = std::chrono::seconds(2);
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

/// A change, or the answer that says what is wrong with it.
using ChangeParse = boost::outcome_v2::basic_result<Change, HttpResponse,
                                                    boost::outcome_v2::policy::terminate>;

std::string textMember(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

ChangeParse parseChange(const std::string &body)
{
    const auto root = nlohmann::json::parse(body, nullptr, false);
    if (!root.is_object())
        return errorResponse(Error::MalformedJson, "body");
    const std::string kindName = textMember(root, "kind");
    const auto kind = std::find_if(kinds.begin(), kinds.end(),
                                   [&](const KindRow &row) { return row.name == kindName; });
    if (kind == kinds.end())
        return errorResponse(Error::BadDocument, "kind", "use put, switch or replace");
    Change change;
    change.kind = kind->kind;
    change.id = ChangeId{textMember(root, "id")};
    if (!isValidName(change.id.value()) || change.id.value().size() > maxChangeIdLength)
        return errorResponse(Error::BadDocument, "id", "use 1 to 64 letters, digits, - _ .");
    change.preset = PresetName{textMember(root, "preset")};
    if (change.kind != Change::Kind::ReplaceAll && change.preset.value().empty())
        return errorResponse(Error::BadDocument, "preset", "is missing");
    if (root.contains("basedOn")) {
        if (!root["basedOn"].is_number_unsigned())
            return errorResponse(Error::BadDocument, "basedOn", "is not a revision");
        change.basedOn = Revision{root["basedOn"].get<std::uint64_t>()};
    }
    if (root.contains("document")) {
        DocumentResult document = parseDocument(root["document"].dump());
        if (!document)
            return errorResponse(document.error().error, "document." + document.error().field,
                                 document.error().detail);
        change.document = std::move(document.value());
    } else if (change.kind != Change::Kind::SwitchPreset) {
        return errorResponse(Error::BadDocument, "document", "is missing");
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
    struct DoorRoute
    {
        std::string_view method;
        std::string_view path;
        HttpResponse (*answer)(OperatorHandler *door, const HttpRequest &request);
    };
    using Topic = OperatorQuery::Topic;
    static constexpr std::array routes{
            DoorRoute{"GET", "/status",
                      [](OperatorHandler *door, const HttpRequest &) {
                          return door->query(Topic::Status, "application/json");
                      }},
            DoorRoute{"GET", "/metrics",
                      [](OperatorHandler *door, const HttpRequest &) {
                          return door->query(Topic::Metrics, "text/plain; version=0.0.4");
                      }},
            DoorRoute{"GET", "/spans",
                      [](OperatorHandler *door, const HttpRequest &) {
                          return door->query(Topic::Spans, "application/x-ndjson");
                      }},
            DoorRoute{"GET", "/configuration",
                      [](OperatorHandler *door, const HttpRequest &) {
                          return door->query(Topic::Configuration, "application/json");
                      }},
            DoorRoute{"GET", "/members",
                      [](OperatorHandler *door, const HttpRequest &) { return door->members(); }},
            DoorRoute{"POST", "/configuration",
                      [](OperatorHandler *door, const HttpRequest &change) {
                          return door->change(change);
                      }},
            DoorRoute{"POST", "/drain",
                      [](OperatorHandler *door, const HttpRequest &) { return door->drain(true); }},
            DoorRoute{"GET", "/poison",
                      [](OperatorHandler *door, const HttpRequest &) {
                          return door->query(Topic::Poison, "application/json");
                      }},
            DoorRoute{"POST", "/poison/release",
                      [](OperatorHandler *door, const HttpRequest &release) {
                          return door->releasePoison(release);
                      }},
            DoorRoute{
                    "POST", "/undrain",
                    [](OperatorHandler *door, const HttpRequest &) { return door->drain(false); }},
    };
    bool isKnownPath = false;
    for (const DoorRoute &route : routes) {
        if (route.path != request.path)
            continue;
        if (route.method == request.method)
            return route.answer(this, request);
        isKnownPath = true;
    }
    return isKnownPath ? errorResponse(Error::MethodNotAllowed, "method")
                       : errorResponse(Error::NotFound, "path");
}

HttpResponse OperatorHandler::query(OperatorQuery::Topic about, const std::string &contentType)
{
    auto reply = std::make_shared<ReplySlot<std::string>>();
    m_tasks.node->post(OperatorQuery{about, reply});
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

HttpResponse OperatorHandler::members()
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

HttpResponse OperatorHandler::change(const HttpRequest &request)
{
    ChangeParse change = parseChange(request.body);
    if (!change)
        return change.error();
    auto reply = std::make_shared<ReplySlot<ChangeOutcome>>();
    m_tasks.platform->post(ChangeRequest{change.value(), reply});
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
    if (!outcome->winner.value().empty())
        body["winner"] = outcome->winner.value();
    response.body = body.dump() + "\n";
    return response;
}

HttpResponse OperatorHandler::releasePoison(const HttpRequest &request)
{
    const auto root = nlohmann::json::parse(request.body, nullptr, false);
    const std::string text = root.is_object() ? textMember(root, "content") : "";
    const auto content = fromHex(text);
    if (!content)
        return errorResponse(Error::BadDocument, "content", "use the hash that /poison shows");
    m_tasks.node->post(
            PoisonEventsReceived{{{ContentHash{*content}, randomNumber(), true}}, std::nullopt});
    HttpResponse response;
    response.body = nlohmann::json{{"released", text}}.dump() + "\n";
    return response;
}

HttpResponse OperatorHandler::drain(bool on)
{
    m_tasks.node->post(DrainRequest{on});
    HttpResponse response;
    response.body = nlohmann::json{{"draining", on}}.dump() + "\n";
    return response;
}

} // namespace buckthornford
