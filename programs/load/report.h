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

/// How often each nonce ran, by service.
using Ledgers = std::map<std::string, std::unordered_map<std::string, std::uint32_t>>;

/// Collects the ledgers of the upstreams at \a endpoints and adds them up. Upstreams that can't be
/// reached are named in \a missing.
Ledgers collectLedgers(const std::vector<Endpoint> &endpoints, std::vector<std::string> *missing);

/// Sums up a run.
class Report
{
public:
    Report(const Mix &mix, std::size_t planned);

    void add(const RequestResult &result);

    /// Compares what callers were told with what ran.
    void compare(const Ledgers &ledgers);

    nlohmann::json toJson() const;
    std::string toText() const;

    /// Whether every request had an outcome and nothing ran twice, was cut, crossed or refused
    /// with a false "not run".
    bool isClean() const;

private:
    struct Group
    {
        std::uint64_t offered = 0;
        std::array<std::uint64_t, 4> outcomes{};
        std::uint64_t resends = 0;
        LatencyHistogram latency; ///< of completed requests
        std::map<std::string, std::uint64_t> reasons;
    };

    nlohmann::json toJson(const Group &group) const;

    const Mix &m_mix;
    std::size_t m_planned;
    std::vector<RequestResult> m_results;
    std::map<std::pair<std::size_t, std::string>, Group> m_groups; ///< by phase and class
    std::map<std::string, Group> m_kinds;
    std::map<std::string, std::vector<std::uint32_t>> m_series; ///< completions by class
    std::uint64_t m_corrupted = 0;
    std::uint64_t m_mismatched = 0;
    std::uint64_t m_duplicates = 0;
    std::uint64_t m_falseNotRun = 0;
    std::vector<std::string> m_suspects; ///< nonce and reason of sends that were told wrong
    std::uint64_t m_completedNotRun = 0; ///< completed, but no ledger knows of it
    std::map<std::string, std::uint64_t> m_executions; ///< by service
};

} // namespace buckthornford
