#pragma once

#include "load/worker.h"
#include "telemetry/telemetry.h"

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornford {

/// Number of executions of each nonce, by service.
using Ledgers = std::map<std::string, std::unordered_map<std::string, std::uint32_t>>;

/// Fetches the ledgers of the upstreams at \a endpoints and adds them up by service. Appends the
/// upstreams that sent no ledger to \a missing.
Ledgers collectLedgers(const std::vector<Endpoint> &endpoints, std::vector<std::string> *missing);

/// Counts the outcomes of a run and compares them with the ledgers of the upstreams.
class Report
{
public:
    Report(const Mix &mix, std::size_t planned);

    void add(const RequestResult &result);

    /// Compares the outcomes that callers received with the executions in \a ledgers.
    /// Call it after all results were added.
    void compare(const Ledgers &ledgers);

    nlohmann::json toJson() const;
    std::string toText() const;

    /// Whether every request had an outcome, every answer of a completed request was complete and
    /// its own, and, for non-idempotent requests, none ran twice, none reported as not run is in a
    /// ledger and all completed ones are.
    bool isClean() const;

private:
    /// Counts for a phase and class or for a kind of request.
    struct Group
    {
        std::uint64_t offered = 0;
        std::array<std::uint64_t, 4> outcomes{}; ///< by Outcome
        std::uint64_t resends = 0;
        LatencyHistogram latency;                     ///< of completed requests
        std::map<std::string, std::uint64_t> reasons; ///< of requests that did not complete
    };

    nlohmann::json toJson(const Group &group) const;

    const Mix &m_mix;
    std::size_t m_planned;
    std::vector<RequestResult> m_results;
    std::map<std::pair<std::size_t, std::string>, Group> m_groups; ///< by phase and class
    std::map<std::string, Group> m_kinds;                          ///< by name of the kind
    /// Completions by class, one count for each step of seriesStep.
    std::map<std::string, std::vector<std::uint32_t>> m_series;
    std::uint64_t m_corrupted = 0;       ///< answers with a wrong checksum or size
    std::uint64_t m_mismatched = 0;      ///< answers that belong to another request
    std::uint64_t m_duplicates = 0;      ///< non-idempotent sends that ran twice in a service
    std::uint64_t m_falseNotRun = 0;     ///< reported as not run, but in a ledger
    std::vector<std::string> m_suspects; ///< texts on duplicates and false "not run"
    std::uint64_t m_completedNotRun = 0; ///< completed, but in no ledger
    std::map<std::string, std::uint64_t> m_executions; ///< by service
};

} // namespace buckthornford
