#include "upstream_stand_in/announcer.h"

#include "telemetry/telemetry.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

constexpr Duration announceInterval = std::chrono::milliseconds(500);
constexpr Duration leavingAnnounceInterval = std::chrono::milliseconds(100);
constexpr Duration timeout = std::chrono::seconds(1);

/// A way to report the load. \a select returns the value to report, negative for none, from the
/// past loads, newest last.
struct LoadReport
{
    std::string_view name;
    std::int64_t (*select)(const std::deque<std::int64_t> &past);
};

constexpr std::array loadReports{
        LoadReport{"honest", [](const std::deque<std::int64_t> &past) { return past.back(); }},
        LoadReport{"late", [](const std::deque<std::int64_t> &past) { return past.front(); }},
        LoadReport{"low", [](const std::deque<std::int64_t> &) { return std::int64_t{0}; }},
        LoadReport{"high", [](const std::deque<std::int64_t> &) { return std::int64_t{1000}; }},
        LoadReport{"none", [](const std::deque<std::int64_t> &) { return std::int64_t{-1}; }},
};
constexpr std::size_t maxPastLoads = 10; ///< five seconds of announcements

const LoadReport *findLoadReport(std::string_view name)
{
    const auto found = std::find_if(loadReports.begin(), loadReports.end(),
                                    [name](const LoadReport &row) { return row.name == name; });
    return found == loadReports.end() ? nullptr : &*found;
}

} // namespace

bool isLoadReportName(std::string_view name)
{
    return findLoadReport(name) != nullptr;
}

Announcer::Announcer(Settings settings)
    : m_settings(std::move(settings))
    , m_startId(toHex(randomNumber()))
{}

void Announcer::handle(LeaveRequest &&message, TimePoint)
{
    m_drained = std::move(message.drained);
}

TimePoint Announcer::tick(TimePoint now)
{
    const bool isDrained = announce();
    if (m_drained && isDrained)
        m_drained->post(true);
    return now + (m_drained ? leavingAnnounceInterval : announceInterval);
}

std::int64_t Announcer::reportedLoad()
{
    auto reply = std::make_shared<ReplySlot<CountersRequest::Counters>>();
    m_settings.executor->post(CountersRequest{reply});
    const auto counters = reply->takeWithin(timeout);
    m_pastLoads.push_back(counters ? counters->running + counters->waiting : 0);
    if (m_pastLoads.size() > maxPastLoads)
        m_pastLoads.pop_front();
    return findLoadReport(m_settings.loadReport)->select(m_pastLoads);
}

bool Announcer::announce()
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/announce";
    nlohmann::json body{{"service", m_settings.service},
                        {"address", m_settings.self.toString()},
                        {"slots", m_settings.slots},
                        {"state", m_drained ? "leaving" : "serving"},
                        {"startId", m_startId}};
    const std::int64_t load = reportedLoad();
    if (load >= 0)
        body["load"] = load;
    request.body = body.dump();
    if (!m_connection) {
        Result<HttpConnection> connection = HttpConnection::connect(m_settings.node);
        if (connection)
            m_connection.emplace(std::move(connection.value()));
    }
    Result<HttpResponse> response = Error::ConnectFailed;
    if (m_connection)
        response = m_connection->exchange(request, timeout);
    const bool isAcknowledged = response && response.value().status == 200;
    if (isAcknowledged != m_isNodeReachable)
        logEvent(isAcknowledged ? LogLevel::Info : LogLevel::Warning,
                 isAcknowledged ? "node-reached" : "node-not-reached");
    m_isNodeReachable = isAcknowledged;
    if (!isAcknowledged) {
        m_connection.reset();
        return false;
    }
    const auto answer = nlohmann::json::parse(response.value().body, nullptr, false);
    return answer.is_object() && answer.value("drained", false);
}

} // namespace buckthornford
