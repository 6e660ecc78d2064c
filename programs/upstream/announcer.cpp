#include "upstream/announcer.h"

#include "telemetry/telemetry.h"

#include <nlohmann/json.hpp>

namespace buckthornford {

namespace {

constexpr Duration interval = std::chrono::milliseconds(500);
constexpr Duration leavingInterval = std::chrono::milliseconds(100);
constexpr Duration timeout = std::chrono::seconds(1);

} // namespace

Announcer::Announcer(Settings settings)
    : m_settings(std::move(settings))
    , m_startId(toHex(randomNumber()))
{}

void Announcer::handle(LeaveWanted &&message, TimePoint)
{
    m_drained = std::move(message.drained);
}

TimePoint Announcer::tick(TimePoint now)
{
    const bool isDrained = announce();
    if (m_drained && isDrained)
        m_drained->post(true);
    return now + (m_drained ? leavingInterval : interval);
}

bool Announcer::announce()
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/announce";
    request.body = nlohmann::json{
            {"service", m_settings.service},
            {"address", m_settings.self.toString()},
            {"slots", m_settings.slots},
            {"state", m_drained ? "leaving" : "serving"},
            {"startId",
             m_startId}}.dump();
    if (!m_connection) {
        Result<HttpConnection> connection = HttpConnection::connect(m_settings.node);
        if (connection)
            m_connection.emplace(std::move(connection.value()));
    }
    Result<HttpResponse> response = Error::ConnectFailed;
    if (m_connection)
        response = m_connection->exchange(request, timeout);
    const bool isHeard = response && response.value().status == 200;
    if (isHeard != m_wasHeard)
        logEvent(isHeard ? LogLevel::Info : LogLevel::Warning,
                 isHeard ? "node-reached" : "node-not-reached");
    m_wasHeard = isHeard;
    if (!isHeard) {
        m_connection.reset();
        return false;
    }
    const auto body = nlohmann::json::parse(response.value().body, nullptr, false);
    return body.is_object() && body.value("drained", false);
}

} // namespace buckthornford
