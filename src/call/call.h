#pragma once

/// The messages between an entry node and a target's node, as plain values without encoding.

#include "call/header_names.h"
#include "core/core.h"
#include "telemetry/span.h"

#include <optional>
#include <string>

namespace buckthornford {

/// A node process as others address it.
struct PeerRef
{
    InstanceId instance;
    Incarnation incarnation;
    std::string address; ///< IP:PORT of its peer door

    friend bool operator==(const PeerRef &, const PeerRef &) = default;
};

/// What a caller asks for.
struct Work
{
    ServiceName service;
    OperationName operation;
    std::string method; ///< HTTP method, kept for the upstream
    std::string query;  ///< query string, kept for the upstream
    ClassName className;
    CallerName caller;
    bool idempotent = false;
    std::string key; ///< idempotency key; empty if none
    std::string contentType;
    std::string body;
    std::string target{};  ///< request target as the caller sent it; empty if made from operation
    HttpHeaders headers{}; ///< end-to-end fields to pass on
};

/// Asks a target's node to run work.
struct RunRequest
{
    RequestId request;
    AttemptNumber attempt;
    Work work;
    Duration timeLeft{0}; ///< until the deadline, from the moment of sending
    Duration age{0};      ///< since the request entered the system
    Tokens retryBudget;   ///< retries lent to the part of the chain below
    Depth depth;
    Revision revision;
    TraceContext trace;
    std::optional<PeerRef> alternate; ///< where the key may move if it is refused here
    std::optional<Rank> chainRank;    ///< of the request that began the chain, for calls in it
    /// An upstream may have got this request before, or it belongs to a run of which this is true.
    bool isRepeat = false;
};

/// Names one attempt of one entry node.
struct AttemptRef
{
    RequestId request;
    AttemptNumber attempt;

    friend auto operator<=>(const AttemptRef &, const AttemptRef &) = default;
};

/// What a target's node says of its load; receivers note when it arrived.
struct LoadReport
{
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    std::uint32_t queued = 0;
};

/// The end of one Run.
struct Answer
{
    RequestId request;
    AttemptNumber attempt;
    Outcome outcome = Outcome::Completed;
    Error reason = Error::None;
    bool retryable = false; ///< another target may do better
    int status = 0;         ///< the upstream's HTTP status; 0 if it didn't answer
    std::string contentType;
    std::string body;
    std::uint64_t bodyChecksum = 0;
    std::string movedKey; ///< with Error::KeyMoved
    Tokens retryBudgetLeft;
    LoadReport load;
    Duration queueWait{0};
    Duration serviceTime{0};      ///< at the upstream; 0 if it was not asked
    bool replayed = false;        ///< from the record of an earlier run
    std::uint64_t crashId = 0;    ///< with Error::UpstreamLost: id of the upstream's start
    HttpHeaders headers;          ///< end-to-end fields of the upstream's answer
    bool reachedUpstream = false; ///< the upstream got the request, whatever became of it
    Duration retryAfter{0};       ///< with Outcome::NotRun: when to come again; 0 if unknown
};

/// What the part of the chain below an execution left behind.
struct ChainResult
{
    Tokens retryBudgetLeft;
    bool failedPermanently = false; ///< a call further down failed in a way that will repeat
};

/// An answer of the entry itself, for a call without attempts left.
Answer makeRefusal(RequestId request, Error reason, bool retryable);

/// An answer that says the work did not run.
Answer refusal(const RunRequest &run, Error reason, bool retryable);

/// Returns whether the body of \a answer is the one that the target sent.
bool hasIntactBody(const Answer &answer);

} // namespace buckthornford
