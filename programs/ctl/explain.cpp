#include "ctl/explain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace buckthornford {

namespace {

constexpr char idSeparator = '.';

bool isPartOf(const std::string &request, const std::string &id)
{
    return request == id || request.starts_with(id + idSeparator);
}

std::string toText(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

RequestLogLine toLogLine(const nlohmann::json &entry, std::string prefix)
{
    RequestLogLine line;
    line.prefix = std::move(prefix);
    for (const auto &[name, value] : entry.items()) {
        if (name == "event")
            line.event = toText(value);
        else if (name == "time_ms" && value.is_number())
            line.timeMs = value.get<double>();
        else if (name != "request")
            line.fields += ' ' + name + '=' + toText(value);
    }
    return line;
}

/// Returns the JSON object that \a text ends with, if it has the id of a request.
std::optional<nlohmann::json> parseLogEntry(const std::string &text)
{
    const std::size_t brace = text.find('{');
    if (brace == std::string::npos)
        return std::nullopt;
    nlohmann::json entry = nlohmann::json::parse(text.begin() + static_cast<std::ptrdiff_t>(brace),
                                                 text.end(), nullptr, false);
    if (!entry.is_object() || !entry.contains("request") || !entry["request"].is_string())
        return std::nullopt;
    return entry;
}

std::size_t depthOf(const std::string &request)
{
    return static_cast<std::size_t>(std::count(request.begin(), request.end(), idSeparator));
}

} // namespace

RequestLog readRequestLog(std::istream &log, const std::string &id)
{
    RequestLog lines;
    std::string text;
    while (std::getline(log, text)) {
        const std::optional<nlohmann::json> entry = parseLogEntry(text);
        if (!entry)
            continue;
        const std::string request = (*entry)["request"].get<std::string>();
        if (isPartOf(request, id))
            lines[request].push_back(toLogLine(*entry, text.substr(0, text.find('{'))));
    }
    for (auto &[request, requestLines] : lines) {
        std::stable_sort(requestLines.begin(), requestLines.end(),
                         [](const auto &a, const auto &b) { return a.timeMs < b.timeMs; });
    }
    return lines;
}

std::size_t printRequestTree(std::ostream &out, const RequestLog &lines)
{
    std::size_t count = 0;
    const std::size_t topDepth = lines.empty() ? 0 : depthOf(lines.begin()->first);
    for (const auto &[request, requestLines] : lines) {
        const std::string indent(2 * (depthOf(request) - topDepth), ' ');
        out << indent << request << '\n';
        for (const RequestLogLine &line : requestLines) {
            out << indent << "  " << line.prefix << line.event << line.fields << '\n';
            ++count;
        }
    }
    return count;
}

} // namespace buckthornford
