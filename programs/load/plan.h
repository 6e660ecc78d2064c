#pragma once

#include "core/core.h"

#include <string>
#include <string_view>
#include <vector>

namespace buckthornford {

/// One kind of request in a mix.
struct RequestKind
{
    std::string name;
    std::string className;
    std::string caller;
    std::string service;
    std::string operation;
    std::string method = "GET";
    double weight = 1.0;
    Duration timeout{std::chrono::seconds(1)};
    std::uint32_t resends = 0; ///< by the caller itself
    std::size_t answerBytes = 100;
    bool usesKey = false;  ///< fetches idempotency keys ahead of use
    bool crashes = false;  ///< ends each upstream that runs it
    bool isDirect = false; ///< goes to an upstream itself, past all nodes

    bool isIdempotent() const { return method != "POST" && method != "PATCH"; }
};

/// A stretch of time with one arrival rate.
struct Phase
{
    std::string name;
    double seconds = 0.0;
    double rate = 0.0; ///< requests a second
};

struct Mix
{
    std::vector<RequestKind> kinds;
    std::vector<Phase> phases;
};

/// One request of a plan.
struct PlannedRequest
{
    std::size_t number = 0;
    std::size_t kind = 0;
    std::size_t phase = 0;
    Duration due{0}; ///< after the start
};

/// A mix or one line that says what is wrong with it.
using MixResult
        = boost::outcome_v2::basic_result<Mix, std::string, boost::outcome_v2::policy::terminate>;

/// Reads a mix from JSON text.
MixResult parseMix(std::string_view text);

/// Reads phases written as "NAME:SECONDSxRATE,...". Returns nothing if malformed.
std::vector<Phase> parsePhases(std::string_view text);

/// Poisson arrivals over all phases; the same for the same seed.
std::vector<PlannedRequest> makePlan(const Mix &mix, std::uint64_t seed);

} // namespace buckthornford
