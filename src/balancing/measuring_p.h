#pragma once

#include "balancing/balancing.h"

#include <array>

namespace buckthornford {

/// All proximities, nearest first.
inline constexpr std::array proximities{Proximity::SameZone, Proximity::SameRegion,
                                        Proximity::OtherRegion};

/// Running estimates of the latency of one operation of a service over all targets.
class OperationLatency
{
public:
    void record(Duration latency);
    double mean() const { return m_mean; } ///< microseconds
    Duration p95() const { return Duration{static_cast<Duration::rep>(m_p95)}; }

private:
    double m_mean = 0.0; ///< microseconds
    double m_p95 = 0.0;  ///< microseconds
};

/// Base of the load balancers that measure targets: attempts in flight, latencies, failures and
/// load reports with the time of their arrival.
class MeasuringBalancer : public LoadBalancer
{
public:
    MeasuringBalancer(NodeLocation location, std::uint64_t seed);

    void setTargets(const std::vector<Target> &targets, TimePoint now) override;
    void onAttemptSent(const InstanceId &target, TimePoint now) override;
    void onAttemptEnded(const InstanceId &target, const AttemptResult &result,
                        TimePoint now) override;
    void onLoadReport(const InstanceId &target, const LoadReport &report, TimePoint now) override;
    void onUnreachable(const InstanceId &target, TimePoint now) override;
    bool knowsService(const ServiceName &service) const override;
    Duration p95Latency(const ServiceName &service, const OperationName &operation) const override;

protected:
    /// What is known of one incarnation of a target.
    struct TargetState
    {
        Target target;
        Proximity proximity = Proximity::OtherRegion;
        std::multiset<TimePoint> inFlight; ///< send times of the open attempts
        double slowdown = 1.0;             ///< latency relative to the operation's mean
        TimePoint slowdownTime;            ///< when slowdown was last measured
        LoadReport loadReport;
        TimePoint loadReportTime;
        TimePoint unreachableUntil;
        Duration unreachableBackoff{0}; ///< doubles with each onUnreachable, 0 after a success
        double failureShare = 0.0; ///< share of recent attempts that failed, as of lastResultTime
        TimePoint lastResultTime;  ///< end of the last attempt that was not refused or cancelled
        double networkRoundTrip = 0.0; ///< microseconds; 0 if not measured
        TimePoint knownSince;
    };
    /// What is known of a service over all its targets.
    struct ServiceState
    {
        std::map<Proximity, std::vector<InstanceId>> subsets; ///< targets that this node uses
        std::map<OperationName, OperationLatency> latencies;
        double spillCredit = 0.0; ///< requests that may leave the region now
    };

    /// Returns the targets at \a proximity that can be picked for \a request. With
    /// TimePoint::max() as \a now these include unreachable and suspected ones.
    std::vector<TargetState *> candidates(const ServiceState &service, Proximity proximity,
                                          const PickRequest &request, TimePoint now);

    /// Returns how much slower than the operation's mean the target is, judged by its answers and
    /// by its oldest attempt in flight.
    double currentSlowdown(const TargetState &state, const ServiceState &service,
                           const OperationName &operation, TimePoint now) const;

    /// Returns what is left of the measured slowdown: an unused target is expected to recover.
    static double decayedSlowdown(const TargetState &state, TimePoint now);

    /// Returns what is left of the failure share, which decays in the same way.
    double currentFailureShare(const TargetState &state, TimePoint now) const;

    /// Returns whether the target had no result for so long that one request should probe it.
    bool needsProbe(const TargetState &state, TimePoint now) const;

    /// Returns the target whose exclusion as unreachable ends first, or nullptr if there is none.
    TargetState *pickLastResort(const ServiceState &service, const PickRequest &request);

    NodeLocation m_location;
    std::mt19937_64 m_random;
    std::unordered_map<InstanceId, TargetState> m_states;
    std::unordered_map<ServiceName, ServiceState> m_services;

private:
    void rebuildSubsets();
    void updateFailureShare(TargetState *state, bool hasFailed, TimePoint now);
};

} // namespace buckthornford
