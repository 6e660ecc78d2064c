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

/// A chain of services with one target each, without sockets or time: each level has an entry,
/// and running a request at a level means calling the next one from its entry.
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
            for (const char *copy : {"x", "y", "z"}) {
                const PeerRef peer{InstanceId{std::to_string(level) + copy}, Incarnation{1}, ""};
                const ServiceName service{std::to_string(level)};
                targets.push_back({peer, service, ZoneName{"z"}, RegionName{"r"}, Slots{4}});
                directory.push_back({peer, service});
            }
        }
        for (int level = 0; level <= depth; ++level) {
            DispatchSettings settings;
            settings.location = {InstanceId{"e"}, ZoneName{"z"}, RegionName{"r"}};
            settings.policy = policy;
            // The chain's bound must hold without help from the callers' share.
            settings.ratio = {1.0, 1e6};
            m_entries.push_back(std::make_unique<CallDispatcher>(settings));
            m_entries.back()->setView(targets, directory, m_now);
        }
    }

    /// Runs at \a level fail from now on, or only the first \a times of them.
    void failAt(int level, int times = -1)
    {
        m_failLevel = level;
        m_failures = times;
    }

    void dropContextAt(int level) { m_dropLevel = level; }
    int runs(int level) const { return m_runs[static_cast<std::size_t>(level)]; }

    CallResult call(bool idempotent) { return callLevel(0, idempotent, std::nullopt, false); }

private:
    CallResult callLevel(int level, bool idempotent, std::optional<ExecutionId> parent,
                         bool fromUpstream)
    {
        CallRequest request;
        request.work.service = ServiceName{std::to_string(level)};
        request.work.operation = OperationName{"op"};
        request.work.className = ClassName{"class"};
        request.work.caller = CallerName{"caller"};
        request.work.idempotent = idempotent;
        request.parent = parent;
        request.isFromUpstream = fromUpstream;
        CallDispatcher &entry = *m_entries[static_cast<std::size_t>(level)];
        DispatchActions actions
                = entry.startCall(RequestId{++m_lastRequest}, request, m_history, m_now, m_wall);
        while (true) {
            for (DispatchAction &action : actions) {
                if (auto *finish = std::get_if<FinishCall>(&action))
                    return finish->result;
            }
            const SendRun sent = std::get<SendRun>(actions.front());
            const Answer answer = run(level, sent.run);
            actions = entry.onAnswer(sent.to.instance, answer, m_now, m_wall);
        }
    }

    Answer run(int level, const RunRequest &run)
    {
        ++m_runs[static_cast<std::size_t>(level)];
        const ExecutionId id{++m_lastExecution};
        CallDispatcher &below = *m_entries[static_cast<std::size_t>(level) + 1];
        below.onExecutionStarted(id, run, Rank{0}, m_now + std::chrono::seconds(1));
        bool succeeds = level != m_failLevel || m_failures == 0;
        if (!succeeds && m_failures > 0)
            --m_failures;
        const bool isLeaf = static_cast<std::size_t>(level) + 1 == m_runs.size();
        if (succeeds && !isLeaf) {
            const bool drops = level == m_dropLevel;
            const CallResult next = callLevel(level + 1, run.work.idempotent,
                                              drops ? std::nullopt : std::optional(id), true);
            succeeds = next.answer.outcome == Outcome::Completed;
        }
        DispatchActions left;
        const ChainResult chain = below.onExecutionEnded(id, m_now, m_wall, &left);
        Answer answer = makeRefusal(run, Error::None, false);
        answer.outcome = succeeds ? Outcome::Completed : Outcome::Failed;
        answer.retryable = !succeeds && run.work.idempotent && !chain.failedPermanently;
        answer.retryBudgetLeft = chain.retryBudgetLeft;
        return answer;
    }

    TimePoint m_now{std::chrono::seconds(1)};
    WallTime m_wall{1'000'000'000};
    ConfigurationHistory m_history;
    std::vector<std::unique_ptr<CallDispatcher>> m_entries;
    std::vector<int> m_runs;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastExecution = 0;
    int m_failLevel = -1;
    int m_failures = 0;
    int m_dropLevel = -1;
};

} // namespace buckthornford
