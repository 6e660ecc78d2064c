#include "dispatch/dispatch.h"

#include <algorithm>

namespace buckthornford {

namespace {

/// Taken off the deadline that a target's node is told, so that its truthful refusal still
/// arrives in time.
constexpr Duration answerMargin = std::chrono::milliseconds(5);

/// What the end of an attempt tells of its target.
AttemptResult::End endFor(const Answer &answer)
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

PickRequest CallDispatcher::pickRequest(const Call &call) const
{
    return {call.work.service, call.work.operation, call.rank, call.tried, call.spillShare};
}

void CallDispatcher::sendFirst(Call *call, DispatchActions *actions, TimePoint now, WallTime wall)
{
    if (call->work.idempotent || !m_settings.policy.usesIdempotencyKeys)
        call->work.key.clear();
    if (call->work.key.empty()) {
        call->ownKey = !call->work.idempotent && m_settings.policy.usesIdempotencyKeys;
        sendToAny(call, actions, now, wall);
        return;
    }
    const Result<IdempotencyKey> key = IdempotencyKey::parse(call->work.key);
    if (!key) {
        finishRefused(call, Error::BadKey, Outcome::NotRun, actions, now, wall);
        return;
    }
    const DirectoryEntry *home = lookUp(key.value().owner);
    if (home != nullptr && home->service != call->work.service) {
        finishRefused(call, Error::BadKey, Outcome::NotRun, actions, now, wall);
        return;
    }
    if (home == nullptr || home->peer.incarnation != key.value().incarnation) {
        finishRefused(call, Error::KeyOwnerGone, Outcome::Unknown, actions, now, wall);
        return;
    }
    send(call, home->peer, actions, now);
}

void CallDispatcher::sendToAny(Call *call, DispatchActions *actions, TimePoint now, WallTime wall)
{
    const Result<Pick> pick = m_router->pick(pickRequest(*call), now);
    if (!pick) {
        finishRefused(call, errorOf(pick.error()), Outcome::NotRun, actions, now, wall);
        return;
    }
    const PeerRef &peer = pick.value().peer;
    if (call->ownKey)
        call->work.key
                = makeKey(peer.instance, peer.incarnation, wall, m_settings.keyLife).toText();
    send(call, peer, actions, now);
}

std::optional<PeerRef> CallDispatcher::alternateFor(const Call &call, const PeerRef &target,
                                                    TimePoint now)
{
    // Without a token the key could not be followed, and "not run" would not be certain.
    if (call.work.key.empty() || call.ownKey || call.budget.tokens() == Tokens{0})
        return std::nullopt;
    PickRequest request = pickRequest(call);
    request.exclude.push_back(target.instance);
    const Result<Pick> pick = m_router->pick(request, now);
    return pick ? std::optional(pick.value().peer) : std::nullopt;
}

void CallDispatcher::send(Call *call, const PeerRef &peer, DispatchActions *actions, TimePoint now)
{
    const bool hasCallersKey = !call->work.key.empty() && !call->ownKey;
    RunRequest run;
    run.request = call->id;
    run.work = call->work;
    run.attempt = AttemptNumber{++call->attempts};
    if (call->attempts > 1)
        ++m_retries;
    run.timeLeft = call->deadline - now - answerMargin;
    run.age = now - call->entered;
    const bool keepsLast = hasCallersKey && call->budget.tokens() == Tokens{1};
    const bool lends = m_settings.policy.propagatesContext && !keepsLast;
    run.retryBudget = lends ? call->budget.lend() : Tokens{0};
    run.depth = call->depth;
    run.revision = call->revision;
    run.trace = call->trace;
    if (call->parent)
        run.chainRank = call->rank;
    run.isRepeat = call->isRepeat || !call->open.empty();
    run.alternate = alternateFor(*call, peer, now);
    call->open.push_back(Attempt{run.attempt, peer, now, run.retryBudget});
    call->tried.push_back(peer.instance);
    m_router->onAttemptSent(peer.instance, now);
    actions->emplace_back(SendRun{peer, std::move(run)});
}

DispatchActions CallDispatcher::onAnswer(const InstanceId &from, Answer answer, TimePoint now,
                                         WallTime wall)
{
    DispatchActions actions;
    const auto found = m_calls.find(answer.request);
    if (found == m_calls.end())
        return actions; // Late: the call has ended.
    Call &call = found->second;
    const auto attempt = std::find_if(call.open.begin(), call.open.end(), [&](const Attempt &open) {
        return open.number == answer.attempt && open.peer.instance == from;
    });
    if (attempt == call.open.end())
        return actions; // Late or crossed: that attempt has ended.
    const Attempt ended = *attempt;
    call.open.erase(attempt);
    call.budget.giveBack(std::min(answer.retryBudgetLeft, ended.lent));
    if (!hasIntactBody(answer)) {
        answer.outcome = Outcome::Unknown;
        answer.reason = Error::AnswerCut;
        answer.retryable = true;
    }
    m_router->onLoadReport(from, answer.load, now);
    call.queueWait += answer.queueWait;
    endAttempt(&call, ended, std::move(answer), true, &actions, now, wall);
    return actions;
}

void CallDispatcher::endAttempt(Call *call, const Attempt &attempt, Answer answer, bool wasSent,
                                DispatchActions *actions, TimePoint now, WallTime wall)
{
    call->mayHaveRun = call->mayHaveRun || answer.outcome == Outcome::Unknown;
    call->isRepeat = call->isRepeat || answer.reachedUpstream || answer.outcome != Outcome::NotRun;
    m_router->onAttemptEnded(
            attempt.peer.instance,
            {call->work.operation, attempt.sent, now - attempt.sent,
             answer.serviceTime > Duration{0} ? answer.queueWait + answer.serviceTime : Duration{0},
             endFor(answer)},
            now);
    const DirectoryEntry *home = lookUp(attempt.peer.instance);
    EndedAttempt end{answer.outcome, answer.reason, answer.retryable, call->work.idempotent,
                     call->ownKey};
    end.isSameIncarnationAlive = wasSent && home != nullptr && home->peer == attempt.peer;
    goOn(call, m_settings.policy.chooseRetry(end), attempt, std::move(answer), actions, now, wall);
}

bool CallDispatcher::isPoisonous(const Work &work) const
{
    return m_settings.poison != nullptr && m_settings.poison->isPoisonous(contentHash(work));
}

bool CallDispatcher::mayRetry(Call *call, RetryChoice choice, const Answer &answer)
{
    if (!answer.reachedUpstream && answer.outcome == Outcome::NotRun
        && call->freePlacements < m_settings.policy.freeReroutes) {
        ++call->freePlacements;
        return true;
    }
    if (m_settings.policy.retriesPerHop)
        return call->attempts <= m_settings.policy.retriesPerHop->value();
    if (isPoisonous(call->work))
        return false;
    // A moved key has to be followed, or "not run" would not be certain.
    const bool isFree = choice == RetryChoice::FollowMovedKey;
    if (call->budget.tokens() == Tokens{0} || (!isFree && !m_ratio.spend(ratioScope(*call))))
        return false;
    return call->budget.spend();
}

void CallDispatcher::goOn(Call *call, RetryChoice choice, const Attempt &attempt, Answer answer,
                          DispatchActions *actions, TimePoint now, WallTime wall)
{
    if (answer.outcome == Outcome::Failed)
        call->failure = answer;
    const bool waitsForOther = answer.outcome != Outcome::Completed && !call->open.empty();
    if (waitsForOther)
        return;
    const bool isLate = call->deadline <= now + answerMargin;
    if (choice == RetryChoice::Stop || isLate || !mayRetry(call, choice, answer)) {
        finish(call, std::move(answer), actions, now, wall);
        return;
    }
    if (choice == RetryChoice::FollowMovedKey) {
        call->work.key = answer.movedKey;
        sendFirst(call, actions, now, wall);
        return;
    }
    if (choice == RetryChoice::RetrySameTarget) {
        send(call, attempt.peer, actions, now);
        return;
    }
    // What ran and failed may be tried again where it failed, if there is no other target.
    if (answer.outcome != Outcome::NotRun && !m_router->pick(pickRequest(*call), now))
        call->tried.clear();
    if (m_router->pick(pickRequest(*call), now))
        sendToAny(call, actions, now, wall);
    else
        finish(call, std::move(answer), actions, now, wall);
}

DispatchActions CallDispatcher::endAttemptsOn(const InstanceId &peer, Outcome outcome, Error reason,
                                              bool wasSent, TimePoint now, WallTime wall)
{
    DispatchActions actions;
    // After a stream that worked has broken, a new one may work at once.
    if (!wasSent)
        m_router->onUnreachable(peer, now);
    std::vector<RequestId> ids;
    for (const auto &[id, call] : m_calls) {
        if (std::any_of(call.open.begin(), call.open.end(),
                        [&peer](const Attempt &open) { return open.peer.instance == peer; }))
            ids.push_back(id);
    }
    for (const RequestId id : ids) {
        Call &call = m_calls.at(id);
        const auto attempt
                = std::find_if(call.open.begin(), call.open.end(),
                               [&peer](const Attempt &open) { return open.peer.instance == peer; });
        const Attempt ended = *attempt;
        call.open.erase(attempt);
        Answer answer = makeRefusal(id, reason, true);
        answer.outcome = outcome;
        const bool hasCallersKey = !call.work.key.empty() && !call.ownKey;
        if (!wasSent) {
            call.budget.giveBack(ended.lent);
            // Another entry, or an attempt before, may have brought the same key to its home.
            if (hasCallersKey || call.mayHaveRun)
                answer.outcome = Outcome::Unknown;
        }
        endAttempt(&call, ended, std::move(answer), true, &actions, now, wall);
    }
    return actions;
}

void CallDispatcher::endUnanswered(const InstanceId &peer, AttemptRef ref, bool wasSent,
                                   DispatchActions *actions, TimePoint now, WallTime wall)
{
    const auto found = m_calls.find(ref.request);
    if (found == m_calls.end())
        return;
    Call &call = found->second;
    const auto attempt = std::find_if(call.open.begin(), call.open.end(), [&](const Attempt &open) {
        return open.number == ref.attempt && open.peer.instance == peer;
    });
    if (attempt == call.open.end())
        return;
    const Attempt ended = *attempt;
    call.open.erase(attempt);
    Answer answer = makeRefusal(ref.request, wasSent ? Error::AnswerLost : Error::TargetUnreachable,
                                true);
    answer.outcome = wasSent || call.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    answer.reachedUpstream = wasSent;
    endAttempt(&call, ended, std::move(answer), wasSent, actions, now, wall);
}

DispatchActions CallDispatcher::onStreamEnded(const InstanceId &peer, bool wasOpen,
                                              const std::vector<AttemptRef> &unanswered,
                                              TimePoint now, WallTime wall)
{
    DispatchActions actions;
    // After a stream that worked has broken, a new one may work at once.
    if (!wasOpen)
        m_router->onUnreachable(peer, now);
    for (const AttemptRef &ref : unanswered)
        endUnanswered(peer, ref, wasOpen, &actions, now, wall);
    return actions;
}

DispatchActions CallDispatcher::onPeerLost(const InstanceId &peer, TimePoint now, WallTime wall)
{
    return endAttemptsOn(peer, Outcome::Unknown, Error::AnswerLost, true, now, wall);
}

DispatchActions CallDispatcher::onPeerUnreachable(const InstanceId &peer, TimePoint now,
                                                  WallTime wall)
{
    return endAttemptsOn(peer, Outcome::NotRun, Error::TargetUnreachable, false, now, wall);
}

void CallDispatcher::hedge(Call *call, DispatchActions *actions, TimePoint now)
{
    const bool mayHedge
            = call->open.size() == 1 && m_hedgeCredit >= 1.0 && call->budget.tokens() > Tokens{0};
    if (!mayHedge)
        return;
    const Result<Pick> pick = m_router->pick(pickRequest(*call), now);
    if (!pick || !m_ratio.spend(ratioScope(*call)) || !call->budget.spend())
        return;
    m_hedgeCredit -= 1.0;
    send(call, pick.value().peer, actions, now);
}

} // namespace buckthornford
