#pragma once

/// The messages between an entry node, where a caller's request arrives, and a target's node, as
/// plain values. Their encoding is in src/link.

#include "call/header_names.h"
#include "core/core.h"
#include "telemetry/span.h"

#include <optional>
#include <string>

namespace buckthornford {

/// One incarnation of a node, as other nodes address it.
struct PeerRef
{
    InstanceId instance;
    Incarnation incarnation;
    std::string address; ///< IP:PORT where it listens for other nodes

    friend bool operator==(const PeerRef &, const PeerRef &) = default;
};

/// The request of a caller.
struct Work
{
    ServiceName service;
    OperationName operation;
    std::string method; ///< HTTP method, passed to the upstream
    std::string query;  ///< query string, passed to the upstream
    ClassName className;
    CallerName caller;
    bool idempotent = false; ///< may run more than once
    std::string key;         ///< idempotency key; empty if none
    std::string contentType;
    SharedBytes body;
    std::string target{};  ///< HTTP request target of the caller; empty to derive it from operation
    HttpHeaders headers{}; ///< end-to-end headers to pass on
};

/// Asks a target's node to run work.
struct RunRequest
{
    RequestId request;
    AttemptNumber attempt;
    Work work;
    Duration timeLeft{0}; ///< until the deadline, from the moment of sending
    Duration age{0};      ///< since the first request of the call chain arrived
    Tokens retryBudget;   ///< retries lent to the target's part of the call chain
    Depth depth;
    Revision revision;
    TraceContext trace;
    std::optional<PeerRef> alternate; ///< node to which the key may move if this one refuses it
    std::optional<Rank> chainRank; ///< rank of the request that started the chain, for calls in it
    /// An upstream may have received this request before, or the execution that makes this call is
    /// itself a repeat.
    bool isRepeat = false;
};

/// Identifies an attempt among those of one entry node.
struct AttemptRef
{
    RequestId request;
    AttemptNumber attempt;

    friend auto operator<=>(const AttemptRef &, const AttemptRef &) = default;
};

/// The load that a target's node reports. It carries no time: receivers record when it arrived.
struct LoadReport
{
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    std::uint32_t queued = 0;
    /// Highest utilization along the calls of the answered operation, the target's own included; 0
    /// if not known.
    Utilization chainUtilization{};
};

/// How one RunRequest ended.
struct Answer
{
    RequestId request;
    AttemptNumber attempt;
    Outcome outcome = Outcome::Completed;
    Error reason = Error::None;
    bool retryable = false; ///< another target may do better
    int status = 0;         ///< HTTP status from the upstream; 0 without a response
    std::string contentType;
    std::string body;
    std::uint64_t bodyChecksum = 0;
    std::string movedKey; ///< with Error::KeyMoved: the key to use instead
    Tokens retryBudgetLeft;
    LoadReport load;
    Duration queueWait{0};
    Duration serviceTime{0};      ///< at the upstream; 0 if the request did not reach it
    bool replayed = false;        ///< stored answer of an earlier run with the same key
    std::uint64_t crashId = 0;    ///< with Error::UpstreamLost: id of the upstream's start
    HttpHeaders headers;          ///< end-to-end headers of the upstream's response
    bool reachedUpstream = false; ///< the request was sent to the upstream, whatever happened then
    Duration retryAfter{0};       ///< with Outcome::NotRun: delay before a new try; 0 if unknown
};

/// What an execution's calls left of its retry budget, and how they ended.
struct ChainResult
{
    Tokens retryBudgetLeft;
    bool failedPermanently
            = false; ///< one of its calls failed in a way that another run would repeat
};

/// Makes a "not run" answer of the entry node itself to \a request, without an attempt number.
Answer makeRefusal(RequestId request, Error reason, bool retryable);

/// Makes a "not run" answer to \a run; its retry budget is given back.
Answer makeRefusal(const RunRequest &run, Error reason, bool retryable);

/// Returns whether \a answer, which another node has sent, can be passed on: the body matches the
/// checksum, and the status is that of a final response or none.
bool isIntact(const Answer &answer);

} // namespace buckthornford
