#include "entry/entry.h"

#include <algorithm>

namespace buckthornford {

namespace {

/// Taken off the deadline that a target's node is told, so that its truthful refusal still
/// arrives in time.
constexpr Duration answerMargin = std::chrono::milliseconds(5);
constexpr Duration minHedgeDelay = std::chrono::milliseconds(2);
constexpr double hedgeBurst = 10.0;

Run runOf(RequestId id, const Work &work)
{
    Run run;
    run.request = id;
    run.work = work;
    return run;
}

bool isSampled(double share)
{
    constexpr double range = 1e6;
    return static_cast<double>(randomNumber() % static_cast<std::uint64_t>(range)) < share * range;
}

} // namespace

Entry::Entry(EntrySettings settings)
    : m_settings(std::move(settings))
    , m_router(createRouter(m_settings.policy.router, m_settings.place, m_settings.seed))
    , m_ratio(m_settings.ratio)
{}

void Entry::setView(const std::vector<Target> &targets, std::vector<DirectoryEntry> directory,
                    TimePoint now)
{
    m_router->setTargets(targets, now);
    m_directory.clear();
    for (DirectoryEntry &entry : directory) {
        const InstanceId instance = entry.peer.instance;
        m_directory.insert_or_assign(instance, std::move(entry));
    }
}

const Work *Entry::workOf(RequestId id) const
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : &found->second.work;
}

const DirectoryEntry *Entry::lookUp(const InstanceId &instance) const
{
    const auto found = m_directory.find(instance);
    return found == m_directory.end() ? nullptr : &found->second;
}

std::optional<Error> Entry::fillFromParent(Call *call, const CallRequest &request,
                                           const Configuration &configuration)
{
    const auto found = m_chains.find(*request.parent);
    if (found == m_chains.end())
        return Error::ExecutionEnded;
    Chain &chain = found->second;
    const Run &run = chain.run;
    call->depth = Depth{run.depth.value() + 1};
    if (call->depth > m_settings.maxDepth)
        return Error::DepthExceeded;
    call->work.className = run.work.className;
    call->work.caller = run.work.caller;
    call->deadline = chain.deadline;
    if (request.timeout)
        call->deadline = std::min(chain.deadline, call->entered + *request.timeout);
    call->entered -= run.age;
    call->revision = run.revision;
    call->budget = ChainBudget(chain.budget.lend());
    call->parentSpan = run.trace.span;
    call->trace = run.trace.child();
    const Preset &preset = configuration.document.presetInForce();
    const ClassRule *rule = preset.findClass(call->work.className);
    call->rank = rule == nullptr ? preset.lowestClass().rank : rule->rank;
    chain.calls.push_back(call->id);
    return std::nullopt;
}

std::optional<Error> Entry::fillFromPreset(Call *call, const CallRequest &request,
                                           const Configuration &configuration, TimePoint now)
{
    const Preset &preset = configuration.document.presetInForce();
    const ClassRule *rule = preset.findClass(call->work.className);
    // An upstream that drops the context gets the lowest class and no retries, so that the
    // chain's bound holds all the same.
    if (request.isFromUpstream && rule == nullptr)
        rule = &preset.lowestClass();
    if (rule == nullptr)
        return Error::UnknownClass;
    call->work.className = rule->name;
    call->rank = rule->rank;
    call->deadline = now + request.timeout.value_or(rule->timeout);
    call->revision = configuration.revision;
    if (!request.isFromUpstream)
        call->budget = ChainBudget(rule->retries);
    const TraceContext trace
            = request.trace.value_or(TraceContext::create(isSampled(m_settings.sampledShare)));
    call->parentSpan = trace.span;
    call->trace = trace.child();
    m_ratio.recordRequest(call->work.caller);
    return std::nullopt;
}

EntryActions Entry::begin(RequestId id, CallRequest request, const ConfigurationHistory &history,
                          TimePoint now, WallTime wall)
{
    EntryActions actions;
    Call &call = m_calls[id];
    call.id = id;
    call.work = std::move(request.work);
    call.entered = now;
    call.deadline = now;
    call.enteredWall = wall;
    call.parent = request.parent;
    const Configuration *configuration = history.inForce(wall);
    if (request.parent && m_chains.contains(*request.parent))
        configuration = history.at(m_chains.at(*request.parent).run.revision, wall);
    if (configuration == nullptr) {
        finishRefused(&call, Error::NoTarget, Outcome::NotRun, &actions, now, wall);
        return actions;
    }
    const Preset &preset = configuration->document.presetInForce();
    call.spillShare = preset.spillShare;
    call.hedgeShare = preset.hedgeShare;
    auto error = request.parent ? fillFromParent(&call, request, *configuration)
                                : fillFromPreset(&call, request, *configuration, now);
    if (!error && !m_router->knowsService(call.work.service))
        error = Error::UnknownService;
    if (!error && isPoisonous(call.work))
        error = Error::Poisonous;
    if (error) {
        finishRefused(&call, *error, Outcome::NotRun, &actions, now, wall);
        return actions;
    }
    startTimers(call, now);
    sendFirst(&call, &actions, now, wall);
    return actions;
}

void Entry::startTimers(const Call &call, TimePoint now)
{
    m_timers.emplace(call.deadline, Timer{call.id, true});
    if (!m_settings.policy.hedges || !call.work.idempotent)
        return;
    m_hedgeCredit = std::min(hedgeBurst, m_hedgeCredit + call.hedgeShare);
    const Duration slow = m_router->slowLatency(call.work.service, call.work.operation);
    if (slow > Duration{0})
        m_timers.emplace(now + std::max(slow, minHedgeDelay), Timer{call.id, false});
}

PickRequest Entry::pickRequest(const Call &call) const
{
    return {call.work.service, call.work.operation, call.rank, call.tried, call.spillShare};
}

void Entry::sendFirst(Call *call, EntryActions *actions, TimePoint now, WallTime wall)
{
    if (call->work.idempotent || !m_settings.policy.usesKeys)
        call->work.key.clear();
    if (call->work.key.empty()) {
        call->ownKey = !call->work.idempotent && m_settings.policy.usesKeys;
        sendToAny(call, actions, now, wall);
        return;
    }
    const Result<ExecutionKey> key = ExecutionKey::parse(call->work.key);
    if (!key) {
        finishRefused(call, Error::BadKey, Outcome::NotRun, actions, now, wall);
        return;
    }
    const DirectoryEntry *home = lookUp(key.value().home);
    if (home != nullptr && home->service != call->work.service) {
        finishRefused(call, Error::BadKey, Outcome::NotRun, actions, now, wall);
        return;
    }
    if (home == nullptr || home->peer.incarnation != key.value().incarnation) {
        finishRefused(call, Error::HomeGone, Outcome::Unknown, actions, now, wall);
        return;
    }
    send(call, home->peer, actions, now);
}

void Entry::sendToAny(Call *call, EntryActions *actions, TimePoint now, WallTime wall)
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

std::optional<PeerRef> Entry::alternateFor(const Call &call, const PeerRef &target, TimePoint now)
{
    // Without a token the key could not be followed, and "not run" would not be certain.
    if (call.work.key.empty() || call.ownKey || call.budget.tokens() == Tokens{0})
        return std::nullopt;
    PickRequest request = pickRequest(call);
    request.exclude.push_back(target.instance);
    const Result<Pick> pick = m_router->pick(request, now);
    return pick ? std::optional(pick.value().peer) : std::nullopt;
}

void Entry::send(Call *call, const PeerRef &peer, EntryActions *actions, TimePoint now)
{
    const bool hasCallersKey = !call->work.key.empty() && !call->ownKey;
    Run run = runOf(call->id, call->work);
    run.attempt = AttemptNumber{++call->attempts};
    run.timeLeft = call->deadline - now - answerMargin;
    run.age = now - call->entered;
    const bool keepsLast = hasCallersKey && call->budget.tokens() == Tokens{1};
    run.budget = keepsLast ? Tokens{0} : call->budget.lend();
    run.depth = call->depth;
    run.revision = call->revision;
    run.trace = call->trace;
    run.alternate = alternateFor(*call, peer, now);
    call->open.push_back(Attempt{run.attempt, peer, now, run.budget});
    call->tried.push_back(peer.instance);
    m_router->onSent(peer.instance, now);
    actions->emplace_back(SendRun{peer, std::move(run)});
}

EntryActions Entry::answer(const InstanceId &from, Answer answer, TimePoint now, WallTime wall)
{
    EntryActions actions;
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
    call.budget.giveBack(std::min(answer.budgetLeft, ended.lent));
    if (!isWhole(answer)) {
        answer.outcome = Outcome::Unknown;
        answer.reason = Error::AnswerCut;
        answer.retryable = true;
    }
    m_router->onReport(from, answer.load, now);
    call.queueWait += answer.queueWait;
    endAttempt(&call, ended, std::move(answer), true, &actions, now, wall);
    return actions;
}

void Entry::endAttempt(Call *call, const Attempt &attempt, Answer answer, bool wasSent,
                       EntryActions *actions, TimePoint now, WallTime wall)
{
    const bool answered = answer.outcome == Outcome::Completed;
    m_router->onEnd(attempt.peer.instance, call->work.operation, now - attempt.sent, answered, now);
    const DirectoryEntry *home = lookUp(attempt.peer.instance);
    AttemptEnd end{answer.outcome, answer.reason, answer.retryable, call->work.idempotent,
                   call->ownKey};
    end.sameHomeLives = wasSent && home != nullptr && home->peer == attempt.peer;
    goOn(call, m_settings.policy.chooseRetry(end), attempt, std::move(answer), actions, now, wall);
}

bool Entry::isPoisonous(const Work &work) const
{
    return m_settings.poison != nullptr && m_settings.poison->isPoisonous(contentHash(work));
}

bool Entry::mayRetry(Call *call, RetryChoice choice)
{
    if (m_settings.policy.fixedRetries)
        return call->attempts <= m_settings.policy.fixedRetries->value();
    if (isPoisonous(call->work))
        return false;
    // A moved key has to be followed, or "not run" would not be certain.
    const bool isFree = choice == RetryChoice::FollowKey;
    if (call->budget.tokens() == Tokens{0} || (!isFree && !m_ratio.spend(call->work.caller)))
        return false;
    return call->budget.spend();
}

void Entry::goOn(Call *call, RetryChoice choice, const Attempt &attempt, Answer answer,
                 EntryActions *actions, TimePoint now, WallTime wall)
{
    const bool waitsForOther = answer.outcome != Outcome::Completed && !call->open.empty();
    if (waitsForOther)
        return;
    const bool isLate = call->deadline <= now + answerMargin;
    if (choice == RetryChoice::Stop || isLate || !mayRetry(call, choice)) {
        finish(call, std::move(answer), actions, now, wall);
        return;
    }
    if (choice == RetryChoice::FollowKey) {
        call->work.key = answer.movedKey;
        sendFirst(call, actions, now, wall);
        return;
    }
    if (choice == RetryChoice::RetrySame) {
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

EntryActions Entry::endAttemptsOn(const InstanceId &peer, Outcome outcome, Error reason,
                                  bool wasSent, TimePoint now, WallTime wall)
{
    EntryActions actions;
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
        Answer answer = refusal(runOf(id, call.work), reason, true);
        answer.outcome = outcome;
        const bool hasCallersKey = !call.work.key.empty() && !call.ownKey;
        if (!wasSent) {
            call.budget.giveBack(ended.lent);
            // Another entry may have brought the same key to its home.
            if (hasCallersKey)
                answer.outcome = Outcome::Unknown;
        }
        endAttempt(&call, ended, std::move(answer), true, &actions, now, wall);
    }
    return actions;
}

EntryActions Entry::peerLost(const InstanceId &peer, TimePoint now, WallTime wall)
{
    return endAttemptsOn(peer, Outcome::Unknown, Error::AnswerLost, true, now, wall);
}

EntryActions Entry::peerUnreachable(const InstanceId &peer, TimePoint now, WallTime wall)
{
    return endAttemptsOn(peer, Outcome::NotRun, Error::TargetUnreachable, false, now, wall);
}

EntryActions Entry::cancel(RequestId id, TimePoint now, WallTime wall)
{
    EntryActions actions;
    const auto found = m_calls.find(id);
    if (found != m_calls.end())
        finishRefused(&found->second, Error::Cancelled, Outcome::Unknown, &actions, now, wall);
    return actions;
}

void Entry::hedge(Call *call, EntryActions *actions, TimePoint now)
{
    const bool mayHedge
            = call->open.size() == 1 && m_hedgeCredit >= 1.0 && call->budget.tokens() > Tokens{0};
    if (!mayHedge)
        return;
    const Result<Pick> pick = m_router->pick(pickRequest(*call), now);
    if (!pick || !m_ratio.spend(call->work.caller) || !call->budget.spend())
        return;
    m_hedgeCredit -= 1.0;
    send(call, pick.value().peer, actions, now);
}

EntryActions Entry::tick(TimePoint now, WallTime wall)
{
    EntryActions actions;
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const Timer timer = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        const auto found = m_calls.find(timer.id);
        if (found == m_calls.end())
            continue;
        if (timer.isDeadline)
            finishRefused(&found->second, Error::AnswerLost, Outcome::Unknown, &actions, now, wall);
        else
            hedge(&found->second, &actions, now);
    }
    return actions;
}

TimePoint Entry::nextWake(TimePoint otherwise) const
{
    return m_timers.empty() ? otherwise : std::min(otherwise, m_timers.begin()->first);
}

void Entry::finishRefused(Call *call, Error reason, Outcome outcome, EntryActions *actions,
                          TimePoint now, WallTime wall)
{
    Answer answer = refusal(runOf(call->id, {}), reason, false);
    answer.outcome = outcome;
    finish(call, std::move(answer), actions, now, wall);
}

void Entry::finish(Call *call, Answer answer, EntryActions *actions, TimePoint, WallTime wall)
{
    for (const Attempt &open : call->open)
        actions->emplace_back(SendCancel{open.peer, call->id, open.number});
    const auto chain = call->parent ? m_chains.find(*call->parent) : m_chains.end();
    if (chain != m_chains.end()) {
        chain->second.budget.giveBack(call->budget.tokens());
        std::erase(chain->second.calls, call->id);
        // The hop next to the failure has done what may be done about it.
        if (answer.outcome != Outcome::Completed)
            chain->second.failedForGood = true;
    }
    Span span;
    span.context = call->trace;
    span.parent = call->parentSpan;
    span.name = "entry";
    span.start = call->enteredWall;
    span.end = wall;
    span.service = call->work.service;
    span.operation = call->work.operation;
    span.className = call->work.className;
    span.instance = m_settings.place.self;
    span.revision = call->revision;
    span.attempts = AttemptNumber{call->attempts};
    span.budgetLeft = call->budget.tokens();
    span.queueWait = call->queueWait;
    span.outcome = answer.outcome;
    span.reason = answer.reason;
    answer.retryable = false;
    actions->emplace_back(FinishCall{
            call->id, {std::move(answer), AttemptNumber{call->attempts}, std::move(span)}});
    m_calls.erase(call->id);
}

void Entry::beginExecution(ExecutionId id, const Run &run, TimePoint deadline)
{
    Chain chain;
    chain.run = run;
    chain.run.work.body.clear();
    chain.deadline = deadline;
    chain.budget = ChainBudget(run.budget);
    m_chains.insert_or_assign(id, std::move(chain));
}

void Entry::cancelCallsOf(ExecutionId id, TimePoint now, WallTime wall, EntryActions *actions)
{
    const auto found = m_chains.find(id);
    if (found == m_chains.end())
        return;
    const std::vector<RequestId> open = found->second.calls;
    for (const RequestId call : open) {
        EntryActions cancelled = cancel(call, now, wall);
        std::move(cancelled.begin(), cancelled.end(), std::back_inserter(*actions));
    }
}

ChainResult Entry::endExecution(ExecutionId id, TimePoint now, WallTime wall, EntryActions *actions)
{
    cancelCallsOf(id, now, wall, actions);
    const auto found = m_chains.find(id);
    if (found == m_chains.end())
        return {};
    const ChainResult result{found->second.budget.tokens(), found->second.failedForGood};
    m_chains.erase(found);
    return result;
}

Result<std::vector<std::string>> Entry::makeKeys(const ServiceName &service, std::size_t count,
                                                 TimePoint now, WallTime wall)
{
    std::vector<std::string> keys;
    PickRequest request;
    request.service = service;
    for (std::size_t i = 0; i < count; ++i) {
        const Result<Pick> pick = m_router->pick(request, now);
        if (!pick)
            return pick.error();
        const PeerRef &peer = pick.value().peer;
        keys.push_back(makeKey(peer.instance, peer.incarnation, wall, m_settings.keyLife).toText());
    }
    return keys;
}

} // namespace buckthornford
