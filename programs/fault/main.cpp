#include "fault/proxy.h"
#include "http_blocking/http_blocking.h"
#include "telemetry/telemetry.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

DEFINE_string(links, "", "links to proxy: NAME=LISTEN/TARGET,...");
DEFINE_string(control, "127.0.0.1:7090", "address on which faults are set: POST /links/NAME");

using namespace buckthornford;

namespace {

bool isLinkList(std::string_view text)
{
    const auto parts = splitList(text, ',');
    return !parts.empty() && std::all_of(parts.begin(), parts.end(), [](const std::string &part) {
        return parseLink(part).has_value();
    });
}

constexpr std::array rules{
        SettingRule{"links", isLinkList, "NAME=IP:PORT/IP:PORT,..."},
        SettingRule{"control", isEndpoint, "IP:PORT"},
};
constexpr std::string_view linksPrefix = "/links/";

HttpResponse setFault(Proxy *proxy, const HttpRequest &request)
{
    if (!request.path.starts_with(linksPrefix) || request.method != "POST")
        return errorResponse(Error::NotFound, "path", "use POST /links/NAME");
    const auto root = nlohmann::json::parse(request.body, nullptr, false);
    if (!root.is_object())
        return errorResponse(Error::MalformedJson, "body");
    LinkFault fault;
    fault.delay = std::chrono::milliseconds(root.value("delayMs", 0));
    fault.bytesPerSecond = root.value("bytesPerSecond", 0.0);
    fault.cut = root.value("cut", false);
    fault.swallowToTarget = root.value("swallowToTarget", false);
    fault.swallowToClient = root.value("swallowToClient", false);
    fault.swallowExisting = root.value("swallowExisting", false);
    fault.breakAfterBytes = root.value("breakAfterBytes", std::size_t{0});
    const std::string link = request.path.substr(linksPrefix.size());
    if (!proxy->setFault(link, fault))
        return errorResponse(Error::NotFound, "link");
    HttpResponse response;
    response.body = "{}\n";
    return response;
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo program{"buckthornford-fault", "a TCP proxy that injects faults", ""};
    if (const auto status = readSettings(&argc, &argv, program, rules))
        return *status;
    blockStopSignals();
    startLog(program.name);
    std::vector<LinkSpec> links;
    for (const std::string &part : splitList(FLAGS_links, ','))
        links.push_back(parseLink(part).value());
    const auto proxy = Proxy::start(links);
    if (!proxy) {
        logEvent(LogLevel::Error, "bind-failed", {{"links", FLAGS_links}});
        return 1;
    }
    HttpServerSettings http;
    http.endpoint = parseEndpoint(FLAGS_control).value();
    http.threads = 4;
    const auto control = HttpServer::listen(http, [&proxy](const HttpRequest &request) {
        return setFault(proxy.value().get(), request);
    });
    if (!control) {
        logEvent(LogLevel::Error, "bind-failed", {{"endpoint", FLAGS_control}});
        return 1;
    }
    logEvent(LogLevel::Info, "started", {{"links", FLAGS_links}});
    waitForStopSignal();
    logEvent(LogLevel::Info, "stopped");
    return 0;
}
