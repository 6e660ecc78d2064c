#include "load/report.h"

#include <gflags/gflags.h>

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(mix, "", "file with the request mix, see docs/LOAD.md");
DEFINE_string(entries, "127.0.0.1:7001", "callers' listeners of the entry nodes");
DEFINE_string(ledgers, "", "upstream stand-ins whose ledgers are compared with the outcomes");
DEFINE_string(phases, "", "phases that replace those of the mix: NAME:SECONDSxRATE,...");
DEFINE_string(callers, "400", "most callers at once, each with one request in flight");
DEFINE_string(run, "run", "name of the run, part of each request's nonce");
DEFINE_string(seed, "1", "seed of the random arrival times and request kinds");
DEFINE_bool(json, false, "print the report as JSON");

using namespace buckthornford;

namespace {

bool isNotEmpty(std::string_view text)
{
    return !text.empty();
}

bool isPhaseListOrEmpty(std::string_view text)
{
    return text.empty() || !parsePhases(text).empty();
}

bool isNonEmptyEndpointList(std::string_view text)
{
    return !text.empty() && isEndpointList(text);
}

constexpr std::array rules{
        SettingRule{"mix", isNotEmpty, "the name of a file"},
        SettingRule{"entries", isNonEmptyEndpointList, "IP:PORT,IP:PORT,..."},
        SettingRule{"ledgers", isEndpointList, "IP:PORT,IP:PORT,... or nothing"},
        SettingRule{"phases", isPhaseListOrEmpty, "NAME:SECONDSxRATE,... or nothing"},
        SettingRule{"callers", isWholeNumberIn<1, 10000>, "1 to 10000"},
        SettingRule{"run", isValidName, "1 to 64 letters, digits, - _ ."},
        SettingRule{"seed", isWholeNumberIn<0, INT64_MAX>, "a whole number from 0"},
};

std::vector<Endpoint> parseEndpoints(const std::string &text)
{
    std::vector<Endpoint> list;
    for (const std::string &part : splitList(text, ','))
        list.push_back(parseEndpoint(part).value());
    return list;
}

/// Hands each planned request to an idle worker when it is due, whether or not earlier requests
/// have ended. While all workers are busy, requests wait; their latency counts from when due.
class LoadGenerator
{
public:
    LoadGenerator(const Mix &mix, Report *report)
        : m_mix(mix)
        , m_report(report)
    {}

    void run(const std::vector<PlannedRequest> &plan)
    {
        const TimePoint start = monotonicNow();
        for (const PlannedRequest &request : plan) {
            collect(start + request.due, false);
            while (m_idleWorkers.empty() && m_workers.size() >= maxWorkers())
                collect(monotonicNow() + std::chrono::seconds(1), true);
            idleWorker()->post({request, m_mix.kinds[request.kind], start});
            ++m_inFlight;
        }
        while (m_inFlight > 0)
            collect(monotonicNow() + std::chrono::seconds(1), true);
    }

private:
    static std::size_t maxWorkers() { return std::stoul(FLAGS_callers); }

    LoadWorker *idleWorker()
    {
        if (m_idleWorkers.empty()) {
            m_workers.push_back(std::make_unique<LoadWorker>(
                    parseEndpoints(FLAGS_entries), m_workers.size(), FLAGS_run, &m_endedRequests));
            m_workers.back()->start();
            m_idleWorkers.push_back(m_workers.back().get());
        }
        LoadWorker *worker = m_idleWorkers.back();
        m_idleWorkers.pop_back();
        return worker;
    }

    /// Adds ended requests to the report until \a deadline; with \a returnAfterFirst only until
    /// the first ones have ended.
    void collect(TimePoint deadline, bool returnAfterFirst)
    {
        do {
            for (RequestEnded &ended : m_endedRequests.takeUntil(deadline)) {
                m_report->add(ended.result);
                m_idleWorkers.push_back(ended.worker);
                --m_inFlight;
            }
        } while (!returnAfterFirst && monotonicNow() < deadline);
    }

    const Mix &m_mix;
    Report *m_report;
    Mailbox<RequestEnded> m_endedRequests;
    std::vector<std::unique_ptr<LoadWorker>> m_workers;
    std::vector<LoadWorker *> m_idleWorkers;
    std::size_t m_inFlight = 0;
};

int fail(const std::string &line)
{
    std::cerr << line << '\n';
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo program{
            "buckthornford-load",
            "open-loop load generator that checks answers against the upstreams' ledgers", ""};
    if (const auto status = readSettings(&argc, &argv, program, rules))
        return *status;
    std::ifstream file(FLAGS_mix);
    if (!file)
        return fail("--mix: cannot read the file \"" + FLAGS_mix + "\"");
    std::stringstream text;
    text << file.rdbuf();
    MixResult parsed = parseMix(text.str());
    if (!parsed)
        return fail("--mix: " + parsed.error());
    Mix mix = std::move(parsed.value());
    if (!FLAGS_phases.empty())
        mix.phases = parsePhases(FLAGS_phases);
    const std::vector<PlannedRequest> plan = makePlan(mix, std::stoull(FLAGS_seed));
    Report report(mix, plan.size());
    LoadGenerator(mix, &report).run(plan);
    std::vector<std::string> missing;
    if (!FLAGS_ledgers.empty())
        report.compare(collectLedgers(parseEndpoints(FLAGS_ledgers), &missing));
    for (const std::string &endpointText : missing)
        std::cerr << "--ledgers: no ledger from " << endpointText << '\n';
    std::cout << (FLAGS_json ? report.toJson().dump() + "\n" : report.toText());
    return report.isClean() ? 0 : 1;
}
