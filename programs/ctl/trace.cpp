#include "ctl/trace.h"

#include "settings/settings.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace buckthornford {

namespace {

constexpr double nanosecondsPerMillisecond = 1e6;

std::string attributeText(const nlohmann::json &value)
{
    for (const char *kind : {"stringValue", "intValue"}) {
        if (value.contains(kind) && value[kind].is_string())
            return value[kind].get<std::string>();
    }
    return {};
}

nlohmann::json parseAttributes(const nlohmann::json &list)
{
    nlohmann::json attributes = nlohmann::json::object();
    for (const auto &attribute : list)
        attributes[attribute.value("key", "")]
                = attributeText(attribute.value("value", nlohmann::json()));
    return attributes;
}

TraceSpan parseSpan(const nlohmann::json &resource, const nlohmann::json &body)
{
    TraceSpan span;
    const nlohmann::json names = parseAttributes(resource.at("attributes"));
    span.service = names.value("service.name", "");
    span.instance = names.value("service.instance.id", "");
    span.trace = body.value("traceId", "");
    span.id = body.value("spanId", "");
    span.parent = body.value("parentSpanId", "");
    span.name = body.value("name", "");
    span.startNs = std::stoll(body.value("startTimeUnixNano", "0"));
    span.endNs = std::stoll(body.value("endTimeUnixNano", "0"));
    span.attributes = parseAttributes(body.at("attributes"));
    return span;
}

void printSpan(std::ostream &out, const TraceSpan &span, int depth)
{
    const auto text = [&span](const char *key) { return span.attributes.value(key, ""); };
    const double milliseconds
            = static_cast<double>(span.endNs - span.startNs) / nanosecondsPerMillisecond;
    out << std::string(static_cast<std::size_t>(2 * depth), ' ') << span.name << ' ' << span.service
        << '/' << text("operation") << " at " << span.instance << "  " << std::fixed
        << std::setprecision(2) << milliseconds << " ms  class " << text("class") << ", revision "
        << text("revision") << ", attempts " << text("attempts") << ", retry budget left "
        << text("budget_left") << ", queued " << text("queue_wait_us") << " us, "
        << text("outcome");
    if (text("reason") != "none")
        out << " (" << text("reason") << ')';
    out << '\n';
}

/// Prints all descendants of the span \a parent.
void printDescendants(std::ostream &out, const std::vector<TraceSpan> &spans,
                      const std::string &parent, int depth)
{
    for (const TraceSpan &span : spans) {
        if (span.parent != parent)
            continue;
        printSpan(out, span, depth);
        printDescendants(out, spans, span.id, depth + 1);
    }
}

} // namespace

std::vector<TraceSpan> parseSpans(const std::string &lines)
{
    std::vector<TraceSpan> spans;
    std::istringstream in(lines);
    std::string line;
    while (std::getline(in, line)) {
        const auto root = nlohmann::json::parse(line, nullptr, false);
        if (!root.is_object() || !root.contains("resourceSpans"))
            continue;
        for (const auto &resourceSpans : root["resourceSpans"]) {
            for (const auto &scope : resourceSpans.at("scopeSpans")) {
                for (const auto &body : scope.at("spans"))
                    spans.push_back(parseSpan(resourceSpans.at("resource"), body));
            }
        }
    }
    return spans;
}

std::vector<TraceSpan> collectSpans(const OperatorClient &client)
{
    std::vector<TraceSpan> spans;
    const OperatorClient::Response members = client.get("/members");
    if (!members.body.is_object())
        return spans;
    for (const auto &member : members.body["members"]) {
        const Result<Endpoint> address = parseEndpoint(member.value("operators", ""));
        if (!address)
            continue;
        std::vector<TraceSpan> nodeSpans
                = parseSpans(OperatorClient(address.value()).get("/spans").text);
        std::move(nodeSpans.begin(), nodeSpans.end(), std::back_inserter(spans));
    }
    return spans;
}

std::size_t printTrace(std::ostream &out, const std::vector<TraceSpan> &all,
                       const std::string &trace)
{
    std::vector<TraceSpan> spans;
    std::copy_if(all.begin(), all.end(), std::back_inserter(spans),
                 [&trace](const TraceSpan &span) { return span.trace == trace; });
    std::sort(spans.begin(), spans.end(),
              [](const TraceSpan &a, const TraceSpan &b) { return a.startNs < b.startNs; });
    for (const TraceSpan &span : spans) {
        // A span is a root if its parent was not collected, as when no node holds it any more.
        const bool hasParent = std::any_of(spans.begin(), spans.end(), [&span](const auto &other) {
            return other.id == span.parent;
        });
        if (hasParent)
            continue;
        printSpan(out, span, 0);
        printDescendants(out, spans, span.id, 1);
    }
    return spans.size();
}

} // namespace buckthornford
