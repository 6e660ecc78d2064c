#pragma once

#include "core/core.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace buckthornford {

/// How one execution at the upstream ended.
struct ExecutionSample
{
    OperationName operation;
    Duration latency{0};
    enum class End {
        Answered,
        Failed, ///< an error response, whose latency says nothing about the load
        Shed,
        Lost,
    } end
            = End::Answered;
};

/// Decides how many executions an upstream may have in progress.
class Limiter
{
public:
    virtual ~Limiter() = default;

    /// Sets the upper end of the limit to the slots that the upstream announces.
    virtual void setCeiling(Slots slots, TimePoint now) = 0;

    /// Drops all estimates, because the upstream has restarted.
    virtual void resetEstimates(TimePoint now) = 0;

    virtual void onStart(std::uint32_t inFlight, TimePoint now) = 0;
    virtual void onEnd(const ExecutionSample &sample, std::uint32_t inFlight, TimePoint now) = 0;

    /// Detects a stall: none of the \a inFlight executions ends for too long.
    virtual void tick(std::uint32_t inFlight, TimePoint now) = 0;

    virtual Slots limit() const = 0;
};

/// Uses the announced slots as the limit: the limiter of the platform's nodes and, for comparison,
/// of the naive policy.
class FixedLimiter : public Limiter
{
public:
    void setCeiling(Slots slots, TimePoint) override { m_slots = slots; }
    void resetEstimates(TimePoint) override {}
    void onStart(std::uint32_t, TimePoint) override {}
    void onEnd(const ExecutionSample &, std::uint32_t, TimePoint) override {}
    void tick(std::uint32_t, TimePoint) override {}
    Slots limit() const override { return m_slots; }

private:
    Slots m_slots{1};
};

/// Adapts the limit to what the upstream completes. The limit grows while latencies stay near
/// those of an uncongested upstream, shrinks when latencies rise, when the upstream sheds and when
/// executions are lost, and is 0 during a stall.
class AdaptiveLimiter : public Limiter
{
public:
    void setCeiling(Slots slots, TimePoint now) override;
    void resetEstimates(TimePoint now) override;
    void onStart(std::uint32_t inFlight, TimePoint now) override;
    void onEnd(const ExecutionSample &sample, std::uint32_t inFlight, TimePoint now) override;
    void tick(std::uint32_t inFlight, TimePoint now) override;
    Slots limit() const override;

private:
    struct Operation
    {
        std::vector<Duration> window;
        std::optional<double> baselineLatency; ///< uncongested latency in microseconds
    };

    void closeWindow(TimePoint now);
    std::size_t requiredSamples() const;
    double takeLatencyRatio(TimePoint now);
    void detectSlowedUpstream(double latencyRatio);
    void grow(double factor);
    void shrink(double factor, TimePoint now);

    double m_limit = 1.0;
    double m_ceiling = 1.0;
    std::uint32_t m_peakInFlight = 0; ///< within the window
    std::size_t m_windowSamples = 0;
    int m_slowWindowsAtLowLoad = 0; ///< in a row
    std::map<OperationName, Operation> m_operations;
    TimePoint m_windowStart;
    TimePoint m_lastShrink;
    TimePoint m_lastEnd;
    double m_typicalLatency = 0.0; ///< microseconds
    bool m_stalled = false;
};

/// Chosen by an admission policy; indexes the table in createLimiter().
enum class LimiterKind { Fixed, Adaptive };

std::unique_ptr<Limiter> createLimiter(LimiterKind kind);

} // namespace buckthornford
