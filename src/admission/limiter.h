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
        Failed, ///< its latency says nothing of the upstream's load
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

    /// Notes the slots that the upstream announces; they are the ceiling.
    virtual void setCeiling(Slots slots, TimePoint now) = 0;

    /// Forgets what was learned, for an upstream that has started anew.
    virtual void resetEstimates(TimePoint now) = 0;

    virtual void onStart(std::uint32_t inFlight, TimePoint now) = 0;
    virtual void onEnd(const ExecutionSample &sample, std::uint32_t inFlight, TimePoint now) = 0;

    /// Notices a stall; \a inFlight executions are in progress.
    virtual void tick(std::uint32_t inFlight, TimePoint now) = 0;

    virtual Slots limit() const = 0;
};

/// The naive baseline: the announced slots.
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

/// Follows what the upstream completes: grows while latencies stay near those of an uncongested
/// upstream, shrinks when they stretch, when it sheds and when it stalls.
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
        std::optional<double> floor; ///< uncongested latency in microseconds
    };

    void closeWindow(TimePoint now);
    std::size_t neededSamples() const;
    double takeStretch(TimePoint now);
    void noteBottom(double stretch);
    void grow(double factor);
    void shrink(double factor, TimePoint now);

    double m_limit = 1.0;
    double m_ceiling = 1.0;
    std::uint32_t m_peakInFlight = 0; ///< within the window
    std::size_t m_samples = 0;        ///< within the window
    int m_stretchedAtBottom = 0;      ///< windows in a row
    std::map<OperationName, Operation> m_operations;
    TimePoint m_windowStart;
    TimePoint m_lastShrink;
    TimePoint m_lastEnd;
    double m_typicalLatency = 0.0; ///< microseconds
    bool m_stalled = false;
};

enum class LimiterKind { Fixed, Adaptive };

std::unique_ptr<Limiter> createLimiter(LimiterKind kind);

} // namespace buckthornford
