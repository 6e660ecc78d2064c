#include "load/report.h"

#include <iomanip>
#include <sstream>

namespace buckthornford {

namespace {

constexpr Duration seriesStep = std::chrono::milliseconds(250);
constexpr std::size_t maxSuspects = 20;
constexpr Duration ledgerTimeout = std::chrono::seconds(10);

} // namespace

Ledgers collectLedgers(const std::vector<Endpoint> &endpoints, std::vector<std::string> *missing)
{
    Ledgers ledgers;
    for (const Endpoint &endpoint : endpoints) {
        HttpRequest request;
        request.method = "GET";
        request.path = "/ledger";
        const Result<HttpResponse> response = exchangeOnce(endpoint, request, ledgerTimeout);
        const auto body = response ? nlohmann::json::parse(response.value().body, nullptr, false)
                                   : nlohmann::json();
        if (!body.is_object() || !body.contains("rows")) {
            missing->push_back(endpoint.toString());
            continue;
        }
        auto &ledger = ledgers[body["service"]];
        for (const auto &[nonce, row] : body["rows"].items())
            ledger[nonce] += row[0].get<std::uint32_t>();
    }
    return ledgers;
}

Report::Report(const Mix &mix, std::size_t planned)
    : m_mix(mix)
    , m_planned(planned)
{}

void Report::add(const RequestResult &result)
{
    const RequestKind &kind = m_mix.kinds[result.request.kind];
    const auto count = [&result](Group *group) {
        ++group->offered;
        ++group->outcomes[static_cast<std::size_t>(result.outcome)];
        group->resends += result.sends.size() - 1;
        if (result.outcome == Outcome::Completed)
            group->latency.record(result.latency);
        else
            ++group->reasons[result.sends.back().reason];
    };
    count(&m_groups[{result.request.phase, kind.className}]);
    count(&m_kinds[kind.name]);
    m_corrupted += result.fault == AnswerFault::Corrupted ? 1 : 0;
    m_mismatched += result.fault == AnswerFault::Mismatched ? 1 : 0;
    if (result.outcome == Outcome::Completed) {
        auto &series = m_series[kind.className];
        const auto step = static_cast<std::size_t>(result.finished / seriesStep);
        if (series.size() <= step)
            series.resize(step + 1);
        ++series[step];
    }
    m_results.push_back(result);
}

void Report::compare(const Ledgers &ledgers)
{
    for (const auto &[service, rows] : ledgers) {
        for (const auto &[nonce, runs] : rows)
            m_executions[service] += runs;
    }
    const auto runsOf = [&ledgers](const std::string &service, const std::string &nonce) {
        const auto ledger = ledgers.find(service);
        if (ledger == ledgers.end())
            return 0U;
        const auto row = ledger->second.find(nonce);
        return row == ledger->second.end() ? 0U : row->second;
    };
    for (const RequestResult &result : m_results) {
        const RequestKind &kind = m_mix.kinds[result.request.kind];
        if (kind.isIdempotent())
            continue;
        for (const SendResult &send : result.sends) {
            // A non-idempotent request runs at most once in each service of its chain.
            for (const auto &[service, rows] : ledgers) {
                const bool isDuplicate = runsOf(service, send.nonce) > 1;
                m_duplicates += isDuplicate ? 1 : 0;
                if (isDuplicate && m_suspects.size() < maxSuspects)
                    m_suspects.push_back(send.nonce + " ran twice in " + service);
            }
            const std::uint32_t runs = runsOf(kind.service, send.nonce);
            const bool isFalse = send.outcome == Outcome::NotRun && runs > 0;
            m_falseNotRun += isFalse ? 1 : 0;
            if (isFalse && m_suspects.size() < maxSuspects)
                m_suspects.push_back(send.nonce + " " + send.reason);
            m_completedNotRun += send.outcome == Outcome::Completed && runs == 0 ? 1 : 0;
        }
    }
}

nlohmann::json Report::toJson(const Group &group) const
{
    const auto outcome
            = [&group](Outcome which) { return group.outcomes[static_cast<std::size_t>(which)]; };
    return {{"offered", group.offered},
            {"completed", outcome(Outcome::Completed)},
            {"failed", outcome(Outcome::Failed)},
            {"notRun", outcome(Outcome::NotRun)},
            {"unknown", outcome(Outcome::Unknown)},
            {"resends", group.resends},
            {"p50Ms", toMilliseconds(group.latency.quantile(0.5))},
            {"p90Ms", toMilliseconds(group.latency.quantile(0.9))},
            {"p99Ms", toMilliseconds(group.latency.quantile(0.99))},
            {"reasons", group.reasons}};
}

nlohmann::json Report::toJson() const
{
    nlohmann::json phases = nlohmann::json::array();
    for (std::size_t i = 0; i < m_mix.phases.size(); ++i) {
        nlohmann::json classes = nlohmann::json::object();
        for (const auto &[key, group] : m_groups) {
            if (key.first == i)
                classes[key.second] = toJson(group);
        }
        const Phase &phase = m_mix.phases[i];
        phases.push_back({{"name", phase.name},
                          {"seconds", phase.seconds},
                          {"rate", phase.rate},
                          {"classes", classes}});
    }
    nlohmann::json kinds = nlohmann::json::object();
    for (const auto &[name, group] : m_kinds)
        kinds[name] = toJson(group);
    std::uint64_t attempts = 0;
    std::uint64_t sends = 0;
    for (const RequestResult &result : m_results) {
        attempts += result.attempts;
        sends += result.sends.size();
    }
    return {{"planned", m_planned},
            {"ended", m_results.size()},
            {"lost", m_planned - m_results.size()},
            {"cut", m_corrupted},
            {"crossed", m_mismatched},
            {"duplicates", m_duplicates},
            {"falseNotRun", m_falseNotRun},
            {"completedNotRun", m_completedNotRun},
            {"suspects", m_suspects},
            {"sends", sends},
            {"attempts", attempts},
            {"executions", m_executions},
            {"phases", phases},
            {"kinds", kinds},
            {"seriesStepMs", seriesStep / std::chrono::milliseconds(1)},
            {"series", m_series}};
}

bool Report::isClean() const
{
    return m_planned == m_results.size() && m_corrupted == 0 && m_mismatched == 0
           && m_duplicates == 0 && m_falseNotRun == 0 && m_completedNotRun == 0;
}

std::string Report::toText() const
{
    constexpr int nameWidth = 16;
    constexpr int numberWidth = 10;
    std::ostringstream out;
    out << std::left << std::setw(nameWidth) << "phase" << std::setw(nameWidth) << "class"
        << std::right << std::setw(numberWidth) << "offered" << std::setw(numberWidth)
        << "completed" << std::setw(numberWidth) << "failed" << std::setw(numberWidth) << "not run"
        << std::setw(numberWidth) << "unknown" << std::setw(numberWidth) << "p50 ms"
        << std::setw(numberWidth) << "p99 ms" << '\n';
    for (const auto &[key, group] : m_groups) {
        const Phase &phase = m_mix.phases[key.first];
        out << std::left << std::setw(nameWidth) << phase.name << std::setw(nameWidth) << key.second
            << std::right << std::setw(numberWidth) << group.offered;
        for (const std::uint64_t outcome : group.outcomes)
            out << std::setw(numberWidth) << outcome;
        out << std::fixed << std::setprecision(1) << std::setw(numberWidth)
            << toMilliseconds(group.latency.quantile(0.5)) << std::setw(numberWidth)
            << toMilliseconds(group.latency.quantile(0.99)) << '\n';
    }
    out << "\nrequests " << m_planned << ", without an outcome (lost) "
        << m_planned - m_results.size() << ", duplicates " << m_duplicates
        << ", false reports of not run " << m_falseNotRun << ", answers cut or corrupted "
        << m_corrupted << ", answers crossed with another request " << m_mismatched
        << ", completed but not in a ledger " << m_completedNotRun << '\n';
    for (const auto &[service, executions] : m_executions) {
        out << "executions in " << service << ": " << executions << " (" << std::setprecision(3)
            << static_cast<double>(executions)
                        / static_cast<double>(std::max<std::size_t>(1, m_planned))
            << " per request)\n";
    }
    return out.str();
}

} // namespace buckthornford
