#pragma once

/// Simulates overload in a chain of three services with the decision code of the deployed node and
/// a simulated clock.

#include "admission_controller/admission_controller.h"
#include "dispatch/dispatch.h"
#include "proxy/node_policy_p.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace buckthornford {

/// The load pattern of one simulation.
struct ChainScenario
{
    double crest = 2.0; ///< offered chains, relative to what the leaf can carry
    double calm = 0.6;  ///< the same before and after the crest
    Duration rampTime = std::chrono::seconds(2); ///< from calm to crest
    TimePoint crestStart{std::chrono::seconds(6)};
    TimePoint crestEnd{std::chrono::seconds(26)};
    TimePoint end{std::chrono::seconds(34)};
    bool limitsChainStarts = true;
};

/// What became of the chains that callers asked for in one second.
struct ChainCounts
{
    int asked = 0;
    int begun = 0; ///< reached an upstream
    int whole = 0; ///< of these, with a complete answer

    friend ChainCounts operator+(const ChainCounts &a, const ChainCounts &b)
    {
        return {a.asked + b.asked, a.begun + b.begun, a.whole + b.whole};
    }
};

inline double ratio(int part, int whole)
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / whole;
}

/// Callers ask `top`, which calls `middle`, which calls `leaf` four times in a row. Only the leaf
/// is short of slots. Chains have one of two priorities.
class ChainSimulation
{
public:
    static constexpr int leafCount = 6;
    static constexpr std::uint32_t leafSlots = 20;
    static constexpr int callsToLeaf = 4;
    static constexpr Duration leafWork = std::chrono::milliseconds(100);

    /// Chains a second that the leaf can carry.
    static constexpr double capacity
            = leafCount * leafSlots / (callsToLeaf * (leafWork.count() / 1e6));

    explicit ChainSimulation(const ChainScenario &scenario)
        : m_scenario(scenario)
    {
        addNodes("top", 24, 400);
        addNodes("middle", 8, 400);
        addNodes("leaf", leafCount, leafSlots);
        m_history.accept(makeConfiguration());
        std::vector<Target> targets;
        std::vector<DirectoryEntry> directory;
        for (const auto &[id, node] : m_nodes) {
            targets.push_back({node->peer, node->service, zone(), region(), node->slots});
            directory.push_back({node->peer, node->service});
        }
        for (auto &[id, node] : m_nodes) {
            node->dispatcher.setView(targets, directory, m_now);
            node->admission.attachUpstream(node->slots, true, m_now);
        }
    }

    void run()
    {
        for (auto &[id, node] : m_nodes)
            scheduleTick(node.get());
        scheduleArrival();
        while (!m_events.empty() && m_events.top().time <= m_scenario.end) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.run();
        }
    }

    /// Returns what became of the chains of \a rank that were asked for from \a begin to \a end.
    ChainCounts counts(int rank, TimePoint begin, TimePoint end) const
    {
        ChainCounts sum;
        for (int second = secondOf(begin); second < secondOf(end); ++second) {
            const auto found = m_counts.find({rank, second});
            if (found != m_counts.end())
                sum = sum + found->second;
        }
        return sum;
    }

    ChainCounts crestCounts(int rank) const
    {
        return counts(rank, m_scenario.crestStart, m_scenario.crestEnd);
    }

    /// Returns the counts from a second after the crest on.
    ChainCounts recoveredCounts(int rank) const
    {
        const TimePoint begin = m_scenario.crestEnd + std::chrono::seconds(1);
        return counts(rank, begin, begin + std::chrono::seconds(5));
    }

    /// Returns the number of whole chains at the full crest.
    int wholeAfterRamp() const
    {
        const TimePoint begin = m_scenario.crestStart + m_scenario.rampTime;
        return counts(0, begin, m_scenario.crestEnd).whole
               + counts(1, begin, m_scenario.crestEnd).whole;
    }

private:
    struct Node
    {
        Node(const PeerRef &self, ServiceName serviceName, Slots slotCount,
             const DispatchSettings &dispatch, const AdmissionSettings &admissionSettings)
            : peer(self)
            , service(std::move(serviceName))
            , slots(slotCount)
            , dispatcher(dispatch)
            , admission(admissionSettings)
        {}

        PeerRef peer;
        ServiceName service;
        Slots slots;
        CallDispatcher dispatcher;
        AdmissionController admission;
    };

    /// The calls of one execution at an upstream.
    struct Script
    {
        Node *node = nullptr;
        ExecutionId execution;
        OperationName operation;
        int callsLeft = 0;
        Duration workAfterCalls{0};
    };

    struct Event
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::pair(other.time, other.order) < std::pair(time, order);
        }
    };

    struct Chain
    {
        int rank = 0;
        int second = 0; ///< in which the caller asked
        bool isBegun = false;
        bool isRetry = false;
    };

    static constexpr Duration networkDelay = std::chrono::milliseconds(1);
    static constexpr Duration tickInterval = std::chrono::milliseconds(20);
    static constexpr Duration upstreamWork = std::chrono::milliseconds(15);
    static constexpr Duration topWork = std::chrono::milliseconds(300);
    static constexpr double highPriorityShare = 0.3;
    static constexpr WallTime noWall{0};

    static int secondOf(TimePoint time)
    {
        return static_cast<int>(
                std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count());
    }

    static ZoneName zone() { return ZoneName{"z"}; }
    static RegionName region() { return RegionName{"r"}; }

    static Configuration makeConfiguration()
    {
        Preset preset;
        preset.name = PresetName{"only"};
        const auto rule = [](const char *name, std::uint32_t rank, int objective) {
            return ClassRule{ClassName{name}, Rank{rank}, Tokens{1}, std::chrono::seconds(3),
                             std::chrono::milliseconds(objective)};
        };
        preset.classes = {rule("high", 0, 2000), rule("low", 1, 2000), rule("middle", 1, 1000),
                          rule("leaf", 1, 300)};
        Document document;
        document.activePresetName = preset.name;
        document.presets.emplace(preset.name, preset);
        return {Revision{1}, ChangeId{"c"}, WallTime{0}, document};
    }

    void addNodes(const std::string &service, int count, std::uint32_t slots)
    {
        for (int i = 0; i < count; ++i) {
            const InstanceId id{service + std::to_string(i)};
            const PeerRef self{id, Incarnation{1}, ""};
            ServiceNodeSettings settings;
            settings.instance = id;
            settings.zone = zone();
            settings.region = region();
            const ProxySettings proxy
                    = makeProxySettings(settings, self, static_cast<std::uint64_t>(m_nodes.size()));
            DispatchSettings dispatch;
            dispatch.location = proxy.location;
            dispatch.policy = proxy.dispatch;
            dispatch.policy.limitsChainStarts = m_scenario.limitsChainStarts;
            dispatch.ratio = {proxy.retryRatio, 1.0};
            dispatch.seed = proxy.seed;
            AdmissionSettings admission;
            admission.self = id;
            admission.incarnation = Incarnation{1};
            admission.policy = proxy.admission;
            m_nodes.emplace(id, std::make_unique<Node>(self, ServiceName{service}, Slots{slots},
                                                       dispatch, admission));
        }
    }

    void schedule(Duration delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, m_nextOrder++, std::move(run)});
    }

    void scheduleTick(Node *node)
    {
        schedule(tickInterval, [this, node] {
            carryOut(node, node->dispatcher.tick(m_now, noWall));
            carryOut(node, node->admission.tick(m_now, noWall));
            scheduleTick(node);
        });
    }

    double offeredLoad() const
    {
        if (m_now < m_scenario.crestStart || m_now >= m_scenario.crestEnd)
            return m_scenario.calm;
        const double progress = std::chrono::duration<double>(m_now - m_scenario.crestStart)
                                / std::chrono::duration<double>(m_scenario.rampTime);
        return m_scenario.calm + std::min(1.0, progress) * (m_scenario.crest - m_scenario.calm);
    }

    void scheduleArrival()
    {
        std::exponential_distribution<double> gap(offeredLoad() * capacity);
        schedule(Duration{static_cast<Duration::rep>(gap(m_random) * 1e6)}, [this] {
            std::uniform_real_distribution<double> share(0.0, 1.0);
            Chain chain;
            chain.rank = share(m_random) < highPriorityShare ? 0 : 1;
            chain.second = secondOf(m_now);
            ++m_counts[{chain.rank, chain.second}].asked;
            startChain(chain);
            scheduleArrival();
        });
    }

    void startChain(const Chain &chain)
    {
        std::uniform_int_distribution<std::size_t> index(0, m_nodes.size() - 1);
        Node *node = std::next(m_nodes.begin(), static_cast<std::ptrdiff_t>(index(m_random)))
                             ->second.get();
        const RequestId id{++m_lastRequest};
        m_chains.emplace(id, chain);
        CallRequest request;
        request.work.service = ServiceName{"top"};
        request.work.className = ClassName{chain.rank == 0 ? "high" : "low"};
        request.work.operation = OperationName{chain.rank == 0 ? "top-high" : "top-low"};
        request.work.idempotent = true;
        request.trace = makeTrace();
        carryOut(node,
                 node->dispatcher.startCall(id, std::move(request), m_history, m_now, noWall));
    }

    template <class Action>
    void carryOut(Node *node, std::vector<Action> actions)
    {
        for (Action &action : actions)
            std::visit([this, node](auto &kind) { carryOut(node, std::move(kind)); }, action);
    }

    void carryOut(Node *node, SendRun send)
    {
        Node *target = m_nodes.at(send.to.instance).get();
        schedule(networkDelay, [this, node, target, run = std::move(send.run)] {
            const ReplyTo replyTo{streamOf(node), run.request, run.attempt};
            carryOut(target, target->admission.submit(run, replyTo,
                                                      m_history.newest()->document.activePreset(),
                                                      m_now, noWall));
        });
    }

    void carryOut(Node *node, const SendCancel &cancel)
    {
        Node *target = m_nodes.at(cancel.to.instance).get();
        schedule(networkDelay, [this, node, target, cancel] {
            carryOut(target, target->admission.cancel(
                                     {streamOf(node), cancel.request, cancel.attempt}, m_now));
        });
    }

    void carryOut(Node *node, Reply reply)
    {
        reply.answer.load.chainUtilization = std::max(
                node->admission.demand(m_now), node->dispatcher.loadBelow(reply.operation, m_now));
        Node *to = m_streams.at(reply.to.stream);
        schedule(networkDelay, [this, node, to, answer = std::move(reply.answer)] {
            carryOut(to, to->dispatcher.onAnswer(node->peer.instance, answer, m_now, noWall));
        });
    }

    void carryOut(Node *, const CancelExecution &) {}

    void carryOut(Node *node, const StartExecution &start)
    {
        node->dispatcher.onExecutionStarted(start.execution, start.run, start.rank, start.deadline);
        const auto chain = m_chains.find(start.run.request);
        if (chain != m_chains.end() && !std::exchange(chain->second.isBegun, true))
            ++m_counts[{chain->second.rank, chain->second.second}].begun;
        Script script{node, start.execution, start.run.work.operation};
        if (node->service.value() == "leaf") {
            std::uniform_real_distribution<double> spread(0.6, 1.4);
            script.workAfterCalls = scaled(leafWork, spread(m_random));
        } else {
            const bool isTop = node->service.value() == "top";
            script.callsLeft = isTop ? 1 : callsToLeaf;
            script.workAfterCalls = isTop ? topWork : upstreamWork;
        }
        m_started[start.execution] = m_now;
        proceed(script);
    }

    /// Makes the next call of an execution, or ends it.
    void proceed(Script script)
    {
        if (script.callsLeft == 0) {
            schedule(script.workAfterCalls, [this, script] { finish(script, 200); });
            return;
        }
        --script.callsLeft;
        const bool isTop = script.node->service.value() == "top";
        CallRequest request;
        request.work.service = ServiceName{isTop ? "middle" : "leaf"};
        request.work.operation = OperationName{isTop ? "middle" : "leaf"};
        request.work.className = ClassName{isTop ? "middle" : "leaf"};
        request.work.idempotent = true;
        request.trace = makeTrace();
        request.timeout = std::chrono::milliseconds(isTop ? 2000 : 700);
        request.parent = script.execution;
        const RequestId id{++m_lastRequest};
        m_scripts.emplace(id, script);
        Node *node = script.node;
        carryOut(node,
                 node->dispatcher.startCall(id, std::move(request), m_history, m_now, noWall));
    }

    void finish(const Script &script, int status)
    {
        UpstreamResult result;
        result.execution = script.execution;
        result.status = status;
        result.latency = m_now - m_started.at(script.execution);
        m_started.erase(script.execution);
        DispatchActions cancelled;
        const ChainResult chain = script.node->dispatcher.onExecutionEnded(script.execution, m_now,
                                                                           noWall, &cancelled);
        carryOut(script.node, std::move(cancelled));
        carryOut(script.node,
                 script.node->admission.onExecutionEnded(std::move(result), chain, m_now));
    }

    void carryOut(Node *, const FinishCall &call)
    {
        const bool isWhole = call.result.answer.outcome == Outcome::Completed;
        if (const auto script = m_scripts.find(call.request); script != m_scripts.end()) {
            const Script next = script->second;
            m_scripts.erase(script);
            if (m_started.contains(next.execution)) {
                if (isWhole)
                    proceed(next);
                else
                    finish(next, 500);
            }
            return;
        }
        const auto found = m_chains.find(call.request);
        Chain chain = found->second;
        m_chains.erase(found);
        if (isWhole)
            ++m_counts[{chain.rank, chain.second}].whole;
        else if (call.result.answer.outcome == Outcome::NotRun && !chain.isRetry)
            retryLater(chain, call.result.answer.retryAfter);
    }

    /// A caller whose chain has not run sends it again once, when it is told to.
    void retryLater(Chain chain, Duration delay)
    {
        chain.isRetry = true;
        schedule(delay, [this, chain] { startChain(chain); });
    }

    /// Returns a trace that is the same in each run: the queue orders by it in the end.
    TraceContext makeTrace()
    {
        TraceContext trace;
        trace.traceLow = m_random();
        return trace;
    }

    std::uint64_t streamOf(Node *node)
    {
        for (const auto &[stream, known] : m_streams) {
            if (known == node)
                return stream;
        }
        m_streams.emplace(m_streams.size() + 1, node);
        return m_streams.size();
    }

    ChainScenario m_scenario;
    TimePoint m_now{};
    std::mt19937_64 m_random{20261205};
    ConfigurationHistory m_history;
    std::map<InstanceId, std::unique_ptr<Node>> m_nodes;
    std::map<std::uint64_t, Node *> m_streams;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextOrder = 0;
    std::uint64_t m_lastRequest = 0;
    std::unordered_map<RequestId, Chain> m_chains;   ///< of callers
    std::unordered_map<RequestId, Script> m_scripts; ///< executions that wait for a call
    std::unordered_map<ExecutionId, TimePoint> m_started;
    std::map<std::pair<int, int>, ChainCounts> m_counts; ///< by rank and second
};

} // namespace buckthornford
