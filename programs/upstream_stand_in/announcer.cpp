#include "upstream_stand_in/announcer.h"

#include "telemetry/telemetry.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

constexpr Duration interval = std::chrono::milliseconds(500);
constexpr Duration leavingInterval = std::chrono::milliseconds(100);
constexpr Duration timeout = std::chrono::seconds(1);

/// How the stand-in reports its load; \a past holds its loads, newest last.
struct ReportRow
{
    std::string_view name;
    std::int64_t (*claim)(const std::deque<std::int64_t> &past);
};

constexpr std::array reports{
        ReportRow{"honest", [](const std::deque<std::int64_t> &past) { return past.back(); }},
        ReportRow{"late", [](const std::deque<std::int64_t> &past) { return past.front(); }},
        ReportRow{"low", [](const std::deque<std::int64_t> &) { return std::int64_t{0}; }},
        ReportRow{"high", [](const std::deque<std::int64_t> &) { return std::int64_t{1000}; }},
        ReportRow{"none", [](const std::deque<std::int64_t> &) { return std::int64_t{-1}; }},
};
constexpr std::size_t keptLoads = 10; ///< five seconds

const ReportRow *findReport(std::string_view name)
{
    const auto found = std::find_if(reports.begin(), reports.end(),
                                    [name](const ReportRow &row) { return row.name == name; });
    return found == reports.end() ? nullptr : &*found;
}

} // namespace

bool isLoadReportName(std::string_view name)
{
    return findReport(name) != nullptr;
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
    return now + (m_drained ? leavingInterval : interval);
}

std::int64_t Announcer::reportedLoad()
{
    auto reply = std::make_shared<ReplySlot<CountersRequest::Counters>>();
    m_settings.executor->post(CountersRequest{reply});
    const auto counters = reply->takeWithin(timeout);
    m_pastLoads.push_back(counters ? counters->running + counters->waiting : 0);
    if (m_pastLoads.size() > keptLoads)
        m_pastLoads.pop_front();
    return findReport(m_settings.loadReport)->claim(m_pastLoads);
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
    const bool isHeard = response && response.value().status == 200;
    if (isHeard != m_isNodeReachable)
        logEvent(isHeard ? LogLevel::Info : LogLevel::Warning,
                 isHeard ? "node-reached" : "node-not-reached");
    m_isNodeReachable = isHeard;
    if (!isHeard) {
        m_connection.reset();
        return false;
    }
    const auto answer = nlohmann::json::parse(response.value().body, nullptr, false);
    return answer.is_object() && answer.value("drained", false);
}

} // namespace buckthornford
