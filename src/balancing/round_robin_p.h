#pragma once

#include "balancing/balancing.h"

namespace buckthornford {

/// Baseline for comparison: picks the targets of a service in turn and measures nothing.
class RoundRobinBalancer : public LoadBalancer
{
public:
    void setTargets(const std::vector<Target> &targets, TimePoint now) override;
    Result<Pick> pick(const PickRequest &request, TimePoint now) override;
    void onAttemptSent(const InstanceId &, TimePoint) override {}
    void onAttemptEnded(const InstanceId &, const AttemptResult &, TimePoint) override {}
    void onLoadReport(const InstanceId &, const LoadReport &, TimePoint) override {}
    void onUnreachable(const InstanceId &, TimePoint) override {}
    bool knowsService(const ServiceName &service) const override;
    Duration p95Latency(const ServiceName &, const OperationName &) const override
    {
        return Duration{0};
    }

private:
    std::unordered_map<ServiceName, std::vector<Target>> m_targets;
    std::unordered_map<ServiceName, std::size_t> m_next;
};

} // namespace buckthornford
