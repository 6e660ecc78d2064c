#pragma once

#include "core/core.h"

#include <string>
#include <string_view>
#include <vector>

namespace buckthornford {

/// A kind of request in a mix: to what it goes, how often, and how its caller behaves.
struct RequestKind
{
    std::string name;
    std::string className;
    std::string caller;
    std::string service;
    std::string operation;
    std::string method = "GET";
    double weight = 1.0; ///< relative share among the kinds of the mix
    Duration timeout{std::chrono::seconds(1)};
    std::uint32_t resends = 0;     ///< at most, by the caller itself
    std::size_t answerBytes = 100; ///< padding that the answer must hold
    bool usesKey = false;  ///< fetches idempotency keys in advance for non-idempotent requests
    bool crashes = false;  ///< crashes each upstream that runs it
    bool isDirect = false; ///< goes directly to an upstream, not through nodes

    bool isIdempotent() const { return method != "POST" && method != "PATCH"; }
};

/// A period with one arrival rate.
struct Phase
{
    std::string name;
    double seconds = 0.0;
    double rate = 0.0; ///< requests a second
};

/// The kinds of requests to send and the phases in which to send them.
struct Mix
{
    std::vector<RequestKind> kinds;
    std::vector<Phase> phases;
};

/// A request with the time at which it is to be sent.
struct PlannedRequest
{
    std::size_t number = 0;
    std::size_t kind = 0;  ///< index into Mix::kinds
    std::size_t phase = 0; ///< index into Mix::phases
    Duration due{0};       ///< since the start of the run
};

/// A mix or an error message of one line.
using MixResult
        = boost::outcome_v2::basic_result<Mix, std::string, boost::outcome_v2::policy::terminate>;

/// Reads a mix from JSON text.
MixResult parseMix(std::string_view text);

/// Parses "NAME:SECONDSxRATE,..."; SECONDS and RATE (requests a second) are decimal numbers.
/// Returns an empty list if malformed.
std::vector<Phase> parsePhases(std::string_view text);

/// Plans Poisson arrivals over all phases. Equal seeds give equal plans.
std::vector<PlannedRequest> makePlan(const Mix &mix, std::uint64_t seed);

} // namespace buckthornford
