#pragma once

#include "http_blocking/http_blocking.h"
#include "task/task.h"
#include "upstream_stand_in/executor.h"

#include <optional>
#include <string>

namespace buckthornford {

/// Returns whether \a name is a row of the table of reports.
bool isLoadReportName(std::string_view name);

/// The upstream wants to leave; \a drained is told when it may stop.
struct LeaveRequest
{
    std::shared_ptr<ReplySlot<bool>> drained;
};

/// The task that announces the upstream to its node.
class Announcer : public Task<LeaveRequest>
{
public:
    struct Settings
    {
        Endpoint node;
        Endpoint self;
        std::string service;
        std::uint32_t slots = 1;
        std::string loadReport = "honest"; ///< a row of the table of reports
        Executor *executor = nullptr;
    };

    explicit Announcer(Settings settings);
    ~Announcer() override { stop(); }

protected:
    void handle(LeaveRequest &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    /// What the upstream claims to have in progress; negative to say nothing.
    std::int64_t reportedLoad();

    /// Returns whether the node said that the upstream is drained.
    bool announce();

    Settings m_settings;
    std::string m_startId;
    std::optional<HttpConnection> m_connection;
    std::shared_ptr<ReplySlot<bool>> m_drained;
    bool m_isNodeReachable = true;
    std::deque<std::int64_t> m_pastLoads; ///< newest last
};

} // namespace buckthornford
