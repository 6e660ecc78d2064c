#pragma once

#include "dispatch/dispatch.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthornford {

inline DispatchPolicy chainPolicy()
{
    DispatchPolicy policy;
    policy.hedges = false;
    return policy;
}

inline Configuration chainConfiguration(Tokens retries)
{
    Preset preset;
    preset.name = PresetName{"only"};
    preset.classes = {{ClassName{"class"}, Rank{0}, retries, std::chrono::seconds(1)}};
    Document document;
    document.activePresetName = preset.name;
    document.presets.emplace(preset.name, preset);
    return {Revision{1}, ChangeId{"c"}, WallTime{0}, document};
}

/// A chain of services with three targets each, without sockets or time. Each level has a
/// dispatcher; running a request at one level makes a call from there to the next level.
class FakeChain
{
public:
    FakeChain(int depth, const DispatchPolicy &policy, Tokens retries)
        : m_runs(static_cast<std::size_t>(depth), 0)
    {
        m_history.accept(chainConfiguration(retries));
        std::vector<Target> targets;
        std::vector<DirectoryEntry> directory;
        for (int level = 0; level < depth; ++level) {
            for (const char *suffix : {"x", "y", "z"}) {
                const PeerRef peer{InstanceId{std::to_string(level) + suffix}, Incarnation{1}, ""};
                const ServiceName service{std::to_string(level)};
                targets.push_back({peer, service, ZoneName{"z"}, RegionName{"r"}, Slots{4}});
                directory.push_back({peer, service});
            }
        }
        for (int level = 0; level <= depth; ++level) {
            DispatchSettings settings;
            settings.location = {InstanceId{"e"}, ZoneName{"z"}, RegionName{"r"}};
            settings.policy = policy;
            // The retry ratio is never reached: the chain's retry budget must hold without it.
            settings.ratio = {1.0, 1e6};
            m_dispatchers.push_back(std::make_unique<CallDispatcher>(settings));
            m_dispatchers.back()->setView(targets, directory, m_now);
        }
    }

    /// Makes all further runs at \a level fail, or only the next \a times of them.
    void failAt(int level, int times = -1)
    {
        m_failingLevel = level;
        m_failuresLeft = times;
    }

    /// The upstream at \a level makes its calls without the context of the request.
    void dropContextAt(int level) { m_contextDropLevel = level; }

    /// Number of runs at \a level.
    int runs(int level) const { return m_runs[static_cast<std::size_t>(level)]; }

    CallResult call(bool idempotent) { return callLevel(0, idempotent, std::nullopt, false); }

private:
    CallResult callLevel(int level, bool idempotent, std::optional<ExecutionId> parent,
                         bool isFromUpstream)
    {
        CallRequest request;
        request.work.service = ServiceName{std::to_string(level)};
        request.work.operation = OperationName{"op"};
        request.work.className = ClassName{"class"};
        request.work.caller = CallerName{"caller"};
        request.work.idempotent = idempotent;
        request.parent = parent;
        request.isFromUpstream = isFromUpstream;
        CallDispatcher &dispatcher = *m_dispatchers[static_cast<std::size_t>(level)];
        DispatchActions actions = dispatcher.startCall(RequestId{++m_lastRequest}, request,
                                                       m_history, m_now, m_wall);
        while (true) {
            for (DispatchAction &action : actions) {
                if (auto *finish = std::get_if<FinishCall>(&action))
                    return finish->result;
            }
            const SendRun send = std::get<SendRun>(actions.front());
            const Answer answer = run(level, send.run);
            actions = dispatcher.onAnswer(send.to.instance, answer, m_now, m_wall);
        }
    }

    Answer run(int level, const RunRequest &run)
    {
        ++m_runs[static_cast<std::size_t>(level)];
        const ExecutionId id{++m_lastExecution};
        CallDispatcher &below = *m_dispatchers[static_cast<std::size_t>(level) + 1];
        below.onExecutionStarted(id, run, Rank{0}, m_now + std::chrono::seconds(1));
        bool succeeds = level != m_failingLevel || m_failuresLeft == 0;
        if (!succeeds && m_failuresLeft > 0)
            --m_failuresLeft;
        const bool isLeaf = static_cast<std::size_t>(level) + 1 == m_runs.size();
        if (succeeds && !isLeaf) {
            const bool dropsContext = level == m_contextDropLevel;
            const CallResult next
                    = callLevel(level + 1, run.work.idempotent,
                                dropsContext ? std::nullopt : std::optional(id), true);
            succeeds = next.answer.outcome == Outcome::Completed;
        }
        DispatchActions cancelActions;
        const ChainResult result = below.onExecutionEnded(id, m_now, m_wall, &cancelActions);
        Answer answer = makeRefusal(run, Error::None, false);
        answer.outcome = succeeds ? Outcome::Completed : Outcome::Failed;
        answer.retryable = !succeeds && run.work.idempotent && !result.failedPermanently;
        answer.retryBudgetLeft = result.retryBudgetLeft;
        return answer;
    }

    TimePoint m_now{std::chrono::seconds(1)};
    WallTime m_wall{1'000'000'000};
    ConfigurationHistory m_history;
    std::vector<std::unique_ptr<CallDispatcher>> m_dispatchers;
    std::vector<int> m_runs;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastExecution = 0;
    int m_failingLevel = -1;
    int m_failuresLeft = 0; ///< negative: no limit
    int m_contextDropLevel = -1;
};

} // namespace buckthornford
