#pragma once

#include "http_blocking/http_blocking.h"
#include "task/task.h"
#include "upstream_stand_in/executor.h"

#include <optional>
#include <string>

namespace buckthornford {

/// Returns whether \a name is a way to report the load: honest, late, low, high or none.
bool isLoadReportName(std::string_view name);

/// Asks the announcer to announce that the upstream is leaving. \a drained gets a value once the
/// node says that the upstream is drained and may stop.
struct LeaveRequest
{
    std::shared_ptr<ReplySlot<bool>> drained;
};

/// Announces the upstream to its node at a fixed interval, with its state and its load.
class Announcer : public Task<LeaveRequest>
{
public:
    struct Settings
    {
        Endpoint node; ///< the node's upstream listener
        Endpoint self; ///< address of the upstream, as announced
        std::string service;
        std::uint32_t slots = 1;
        std::string loadReport = "honest"; ///< see isLoadReportName()
        Executor *executor = nullptr;
    };

    explicit Announcer(Settings settings);
    ~Announcer() override { stop(); }

protected:
    void handle(LeaveRequest &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    /// Samples the load (executions that run or wait) and returns what to report; negative to
    /// report none.
    std::int64_t reportedLoad();

    /// Sends one announcement. Returns whether the node responded that the upstream is drained.
    bool announce();

    Settings m_settings;
    std::string m_startId; ///< random; tells the node that the upstream was restarted
    std::optional<HttpConnection> m_connection;
    std::shared_ptr<ReplySlot<bool>> m_drained; ///< set once the upstream is leaving
    bool m_isNodeReachable = true;        ///< by the last announcement, to log each change once
    std::deque<std::int64_t> m_pastLoads; ///< one for each announcement, newest last
};

} // namespace buckthornford
