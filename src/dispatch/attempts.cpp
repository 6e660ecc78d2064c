#include "dispatch/dispatch.h"

#include <algorithm>

namespace buckthornford {

namespace {

/// A target's node is given this much less time than is left, so that its refusal still arrives
/// before the call's deadline here, at which the outcome would count as unknown.
constexpr Duration answerMargin = std::chrono::milliseconds(5);

/// Returns the end of an attempt as the load balancer counts it.
AttemptResult::End attemptEndOf(const Answer &answer)
{
    switch (answer.outcome) {
    case Outcome::Completed:
        return AttemptResult::End::Succeeded;
    case Outcome::NotRun:
        return answer.reachedUpstream ? AttemptResult::End::Failed : AttemptResult::End::Refused;
    case Outcome::Failed:
    case Outcome::Unknown:
        return AttemptResult::End::Failed;
    }
    return AttemptResult::End::Failed;
}

} // namespace

PickRequest CallDispatcher::makePickRequest(const Call &call) const
{
    return {call.work.service, call.work.operation, call.rank, call.triedTargets, call.spillShare};
}

void CallDispatcher::sendByKey(Call *call, DispatchActions *actions, TimePoint now, WallTime wall)
{
    if (call->work.idempotent || !m_settings.policy.usesIdempotencyKeys)
        call->work.key.clear();
    if (call->work.key.empty()) {
        call->hasGeneratedKey = !call->work.idempotent && m_settings.policy.usesIdempotencyKeys;
        sendToPickedTarget(call, actions, now, wall);
        return;
    }
    const Result<IdempotencyKey> key = IdempotencyKey::parse(call->work.key);
    if (!key) {
        finishWithError(call, Error::BadKey, Outcome::NotRun, actions, now, wall);
        return;
    }
    const DirectoryEntry *owner = findNode(key.value().owner);
    if (owner != nullptr && owner->service != call->work.service) {
        finishWithError(call, Error::BadKey, Outcome::NotRun, actions, now, wall);
        return;
    }
    if (owner == nullptr || owner->peer.incarnation != key.value().incarnation) {
        finishWithError(call, Error::KeyOwnerGone, Outcome::Unknown, actions, now, wall);
        return;
    }
    send(call, owner->peer, actions, now);
}

void CallDispatcher::sendToPickedTarget(Call *call, DispatchActions *actions, TimePoint now,
                                        WallTime wall)
{
    const Result<Pick> pick = m_balancer->pick(makePickRequest(*call), now);
    if (!pick) {
        finishWithError(call, errorOf(pick.error()), Outcome::NotRun, actions, now, wall);
        return;
    }
    const PeerRef &peer = pick.value().peer;
    if (call->hasGeneratedKey)
        call->work.key
                = makeKey(peer.instance, peer.incarnation, wall, m_settings.keyLife).toText();
    send(call, peer, actions, now);
}

std::optional<PeerRef> CallDispatcher::findAlternate(const Call &call, const PeerRef &target,
                                                     TimePoint now)
{
    // A key moves when its owner refuses the run and makes a new key at the alternate. Following
    // the moved key may take a retry token. Without one the call would end as "not run" although
    // the moved key may still run at the alternate.
    if (call.work.key.empty() || call.hasGeneratedKey || call.budget.tokens() == Tokens{0})
        return std::nullopt;
    PickRequest request = makePickRequest(call);
    request.exclude.push_back(target.instance);
    const Result<Pick> pick = m_balancer->pick(request, now);
    return pick ? std::optional(pick.value().peer) : std::nullopt;
}

TimePoint CallDispatcher::executionDeadline(const Call &call)
{
    return std::min(call.deadline - answerMargin, call.executionsDueBy);
}

void CallDispatcher::send(Call *call, const PeerRef &peer, DispatchActions *actions, TimePoint now)
{
    const bool hasCallersKey = !call->work.key.empty() && !call->hasGeneratedKey;
    RunRequest run;
    run.request = call->id;
    run.work = call->work;
    run.attempt = AttemptNumber{++call->attemptCount};
    if (call->attemptCount > 1)
        ++m_retryCount;
    run.timeLeft = executionDeadline(*call) - now;
    run.age = now - call->chainStart;
    const bool keepsLastToken = hasCallersKey && call->budget.tokens() == Tokens{1};
    const bool lendsTokens = m_settings.policy.propagatesContext && !keepsLastToken;
    run.retryBudget = lendsTokens ? call->budget.lend() : Tokens{0};
    run.depth = call->depth;
    run.revision = call->revision;
    run.trace = call->trace;
    if (call->parent)
        run.chainRank = call->rank;
    run.isRepeat = call->isRepeat || !call->openAttempts.empty();
    run.alternate = findAlternate(*call, peer, now);
    call->openAttempts.push_back(Attempt{run.attempt, peer, now, run.retryBudget});
    call->triedTargets.push_back(peer.instance);
    m_balancer->onAttemptSent(peer.instance, now);
    actions->emplace_back(SendRun{peer, std::move(run)});
}

DispatchActions CallDispatcher::onAnswer(const InstanceId &from, Answer answer, TimePoint now,
                                         WallTime wall)
{
    DispatchActions actions;
    const auto found = m_calls.find(answer.request);
    if (found == m_calls.end())
        return actions; // The call has ended.
    Call &call = found->second;
    const auto attempt = std::find_if(
            call.openAttempts.begin(), call.openAttempts.end(), [&](const Attempt &candidate) {
                return candidate.number == answer.attempt && candidate.peer.instance == from;
            });
    if (attempt == call.openAttempts.end())
        return actions; // The attempt has ended, or another node answers it.
    const Attempt ended = *attempt;
    call.openAttempts.erase(attempt);
    call.budget.giveBack(std::min(answer.retryBudgetLeft, ended.lentTokens));
    if (!isIntact(answer)) {
        answer.outcome = Outcome::Unknown;
        answer.reason = Error::AnswerCut;
        answer.retryable = true;
    }
    m_balancer->onLoadReport(from, answer.load, now);
    if (answer.load.chainUtilization > Utilization{0.0})
        m_downstreamLoad.recordReport(call.work.operation, answer.load.chainUtilization, now);
    call.queueWait += answer.queueWait;
    handleAttemptEnd(&call, ended, std::move(answer), true, &actions, now, wall);
    return actions;
}

void CallDispatcher::handleAttemptEnd(Call *call, const Attempt &attempt, Answer answer,
                                      bool maySendToSameTarget, DispatchActions *actions,
                                      TimePoint now, WallTime wall)
{
    call->mayHaveRun = call->mayHaveRun || answer.outcome == Outcome::Unknown;
    call->isRepeat = call->isRepeat || answer.reachedUpstream || answer.outcome != Outcome::NotRun;
    m_balancer->onAttemptEnded(
            attempt.peer.instance,
            {call->work.operation, attempt.sentAt, now - attempt.sentAt,
             answer.serviceTime > Duration{0} ? answer.queueWait + answer.serviceTime : Duration{0},
             attemptEndOf(answer)},
            now);
    const DirectoryEntry *node = findNode(attempt.peer.instance);
    EndedAttempt end{answer.outcome, answer.reason, answer.retryable, call->work.idempotent,
                     call->hasGeneratedKey};
    end.isSameIncarnationAlive
            = maySendToSameTarget && node != nullptr && node->peer == attempt.peer;
    retryOrFinish(call, m_settings.policy.chooseRetry(end), attempt, std::move(answer), actions,
                  now, wall);
}

bool CallDispatcher::isPoisonous(const Work &work) const
{
    return m_settings.poison != nullptr && m_settings.poison->isPoisonous(contentHash(work));
}

bool CallDispatcher::tryAcquireRetry(Call *call, RetryChoice choice, const Answer &answer)
{
    // An attempt that ended before the upstream costs no retry token, up to freeReroutes times.
    if (!answer.reachedUpstream && answer.outcome == Outcome::NotRun
        && call->rerouteCount < m_settings.policy.freeReroutes) {
        ++call->rerouteCount;
        return true;
    }
    if (m_settings.policy.retriesPerHop)
        return call->attemptCount <= m_settings.policy.retriesPerHop->value();
    if (isPoisonous(call->work))
        return false;
    // A moved key must be followed, because "not run" would not be certain otherwise. So the retry
    // ratio does not apply to it.
    const bool skipsRetryRatio = choice == RetryChoice::FollowMovedKey;
    if (call->budget.tokens() == Tokens{0}
        || (!skipsRetryRatio && !m_retryRatio.spend(retryRatioScope(*call))))
        return false;
    return call->budget.spend();
}

void CallDispatcher::retryOrFinish(Call *call, RetryChoice choice, const Attempt &attempt,
                                   Answer answer, DispatchActions *actions, TimePoint now,
                                   WallTime wall)
{
    if (answer.outcome == Outcome::Failed)
        call->upstreamFailure = answer;
    const bool waitsForOtherAttempt
            = answer.outcome != Outcome::Completed && !call->openAttempts.empty();
    if (waitsForOtherAttempt)
        return;
    const bool isTooLate = executionDeadline(*call) <= now;
    if (choice == RetryChoice::Stop || isTooLate || !tryAcquireRetry(call, choice, answer)) {
        finishCall(call, std::move(answer), actions, now, wall);
        return;
    }
    if (choice == RetryChoice::FollowMovedKey) {
        call->work.key = answer.movedKey;
        sendByKey(call, actions, now, wall);
        return;
    }
    if (choice == RetryChoice::RetrySameTarget) {
        send(call, attempt.peer, actions, now);
        return;
    }
    // If no other target is left, work that ran and failed may be sent to the same targets again.
    if (answer.outcome != Outcome::NotRun && !m_balancer->pick(makePickRequest(*call), now))
        call->triedTargets.clear();
    if (m_balancer->pick(makePickRequest(*call), now))
        sendToPickedTarget(call, actions, now, wall);
    else
        finishCall(call, std::move(answer), actions, now, wall);
}

DispatchActions CallDispatcher::endAttemptsAtPeer(const InstanceId &peer, Outcome outcome,
                                                  Error reason, bool wasSent, TimePoint now,
                                                  WallTime wall)
{
    DispatchActions actions;
    // The attempts were not sent, because no stream to the peer could be opened.
    if (!wasSent)
        m_balancer->onUnreachable(peer, now);
    std::vector<RequestId> ids;
    for (const auto &[id, call] : m_calls) {
        if (std::any_of(
                    call.openAttempts.begin(), call.openAttempts.end(),
                    [&peer](const Attempt &candidate) { return candidate.peer.instance == peer; }))
            ids.push_back(id);
    }
    for (const RequestId id : ids) {
        Call &call = m_calls.at(id);
        const auto attempt = std::find_if(
                call.openAttempts.begin(), call.openAttempts.end(),
                [&peer](const Attempt &candidate) { return candidate.peer.instance == peer; });
        const Attempt ended = *attempt;
        call.openAttempts.erase(attempt);
        Answer answer = makeRefusal(id, reason, true);
        answer.outcome = outcome;
        const bool hasCallersKey = !call.work.key.empty() && !call.hasGeneratedKey;
        if (!wasSent) {
            call.budget.giveBack(ended.lentTokens);
            // Another entry node may have sent the caller's key to its owner, or an earlier attempt
            // may have run.
            if (hasCallersKey || call.mayHaveRun)
                answer.outcome = Outcome::Unknown;
        }
        handleAttemptEnd(&call, ended, std::move(answer), true, &actions, now, wall);
    }
    return actions;
}

void CallDispatcher::endUnansweredAttempt(const InstanceId &peer, AttemptRef ref, bool wasSent,
                                          DispatchActions *actions, TimePoint now, WallTime wall)
{
    const auto found = m_calls.find(ref.request);
    if (found == m_calls.end())
        return;
    Call &call = found->second;
    const auto attempt = std::find_if(
            call.openAttempts.begin(), call.openAttempts.end(), [&](const Attempt &candidate) {
                return candidate.number == ref.attempt && candidate.peer.instance == peer;
            });
    if (attempt == call.openAttempts.end())
        return;
    const Attempt ended = *attempt;
    call.openAttempts.erase(attempt);
    Answer answer = makeRefusal(ref.request, wasSent ? Error::AnswerLost : Error::TargetUnreachable,
                                true);
    answer.outcome = wasSent || call.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    answer.reachedUpstream = wasSent;
    handleAttemptEnd(&call, ended, std::move(answer), wasSent, actions, now, wall);
}

DispatchActions CallDispatcher::onStreamEnded(const InstanceId &peer, bool wasOpen,
                                              const std::vector<AttemptRef> &unanswered,
                                              TimePoint now, WallTime wall)
{
    DispatchActions actions;
    // A stream that was open and broke does not make the peer unreachable: a new stream may open at
    // once.
    if (!wasOpen)
        m_balancer->onUnreachable(peer, now);
    for (const AttemptRef &ref : unanswered)
        endUnansweredAttempt(peer, ref, wasOpen, &actions, now, wall);
    return actions;
}

DispatchActions CallDispatcher::onPeerLost(const InstanceId &peer, TimePoint now, WallTime wall)
{
    return endAttemptsAtPeer(peer, Outcome::Unknown, Error::AnswerLost, true, now, wall);
}

DispatchActions CallDispatcher::onPeerUnreachable(const InstanceId &peer, TimePoint now,
                                                  WallTime wall)
{
    return endAttemptsAtPeer(peer, Outcome::NotRun, Error::TargetUnreachable, false, now, wall);
}

void CallDispatcher::hedge(Call *call, DispatchActions *actions, TimePoint now)
{
    const bool mayHedge = call->openAttempts.size() == 1 && m_hedgeCredit >= 1.0
                          && call->budget.tokens() > Tokens{0} && executionDeadline(*call) > now;
    if (!mayHedge)
        return;
    const Result<Pick> pick = m_balancer->pick(makePickRequest(*call), now);
    if (!pick || !m_retryRatio.spend(retryRatioScope(*call)) || !call->budget.spend())
        return;
    m_hedgeCredit -= 1.0;
    send(call, pick.value().peer, actions, now);
}

} // namespace buckthornford
