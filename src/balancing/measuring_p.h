#pragma once

#include "balancing/balancing.h"

#include <array>

namespace buckthornford {

/// From near to far.
inline constexpr std::array proximities{Proximity::SameZone, Proximity::SameRegion,
                                        Proximity::OtherRegion};

/// Latency of one operation of a service over all targets.
class OperationLatency
{
public:
    void record(Duration latency);
    double mean() const { return m_mean; } ///< microseconds
    Duration p95() const { return Duration{static_cast<Duration::rep>(m_p95)}; }

private:
    double m_mean = 0.0;
    double m_p95 = 0.0; ///< estimate of the 95th percentile
};

/// Keeps what a router knows of its targets: own attempts, own latencies, reports with their age.
class MeasuringBalancer : public LoadBalancer
{
public:
    MeasuringBalancer(NodeLocation place, std::uint64_t seed);

    void setTargets(const std::vector<Target> &targets, TimePoint now) override;
    void onAttemptSent(const InstanceId &target, TimePoint now) override;
    void onAttemptEnded(const InstanceId &target, const AttemptResult &report,
                        TimePoint now) override;
    void onLoadReport(const InstanceId &target, const LoadReport &report, TimePoint now) override;
    void onUnreachable(const InstanceId &target, TimePoint now) override;
    bool knowsService(const ServiceName &service) const override;
    Duration p95Latency(const ServiceName &service, const OperationName &operation) const override;

protected:
    struct State
    {
        Target target;
        Proximity proximity = Proximity::OtherRegion;
        std::multiset<TimePoint> inFlight; ///< when each attempt was sent
        double stretch = 1.0;              ///< own latency over the operation's mean
        TimePoint stretchTime;
        LoadReport report;
        TimePoint reportTime;
        TimePoint unreachableUntil;
        Duration unreachableSpan{0};
        double failureShare = 0.0; ///< of recent attempts, as of lastEnd
        TimePoint lastEnd;         ///< of an attempt that told something
        double networkDelay = 0.0; ///< microseconds there and back, 0 if not measured
        TimePoint knownSince;
    };
    struct Service
    {
        std::map<Proximity, std::vector<InstanceId>> subset;
        std::map<OperationName, OperationLatency> latencies;
        double spillCredit = 0.0;
    };

    std::vector<State *> candidates(const Service &service, Proximity reach,
                                    const PickRequest &request, TimePoint now);
    double stretchNow(const State &state, const Service &service, const OperationName &operation,
                      TimePoint now) const;
    static double rememberedStretch(const State &state, TimePoint now);
    double failuresNow(const State &state, TimePoint now) const;

    /// Whether nothing has been learned of the target for so long that one request should tell.
    bool needsProbe(const State &state, TimePoint now) const;
    State *lastResort(const Service &service, const PickRequest &request);

    NodeLocation m_place;
    std::mt19937_64 m_random;
    std::unordered_map<InstanceId, State> m_states;
    std::unordered_map<ServiceName, Service> m_services;

private:
    void rebuildSubsets();
    void noteFailure(State *state, bool hasFailed, TimePoint now);
};

} // namespace buckthornford
