#include "load/report.h"

#include <gflags/gflags.h>

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(mix, "", "file with the request mix, see docs/LOAD.md");
DEFINE_string(entries, "127.0.0.1:7001", "callers' doors of the entry nodes");
DEFINE_string(ledgers, "", "upstream stand-ins whose ledgers are compared");
DEFINE_string(phases, "", "phases in place of the mix's: NAME:SECONDSxRATE,...");
DEFINE_string(callers, "400", "requests that may wait for their answers at once");
DEFINE_string(run, "run", "name of the run, part of each request's nonce");
DEFINE_string(seed, "1", "seed of arrivals and kinds");
DEFINE_bool(json, false, "print the report as JSON");

using namespace buckthornford;

namespace {

bool notEmpty(std::string_view text)
{
    return !text.empty();
}

bool optionalPhases(std::string_view text)
{
    return text.empty() || !parsePhases(text).empty();
}

bool endpoints(std::string_view text)
{
    return !text.empty() && isEndpointList(text);
}

constexpr std::array rules{
        SettingRule{"mix", notEmpty, "the name of a file"},
        SettingRule{"entries", endpoints, "IP:PORT,IP:PORT,..."},
        SettingRule{"ledgers", isEndpointList, "IP:PORT,IP:PORT,... or nothing"},
        SettingRule{"phases", optionalPhases, "NAME:SECONDSxRATE,... or nothing"},
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

/// Hands shots to shooters when they are due, whether or not earlier ones have ended.
class Dispatcher
{
public:
    Dispatcher(const Mix &mix, Report *report)
        : m_mix(mix)
        , m_report(report)
    {}

    void run(const std::vector<PlannedRequest> &plan)
    {
        const TimePoint start = monotonicNow();
        for (const PlannedRequest &shot : plan) {
            collect(start + shot.due, false);
            while (m_idle.empty() && m_shooters.size() >= maxShooters())
                collect(monotonicNow() + std::chrono::seconds(1), true);
            idleShooter()->post({shot, m_mix.kinds[shot.kind], start});
            ++m_open;
        }
        while (m_open > 0)
            collect(monotonicNow() + std::chrono::seconds(1), true);
    }

private:
    static std::size_t maxShooters() { return std::stoul(FLAGS_callers); }

    LoadWorker *idleShooter()
    {
        if (m_idle.empty()) {
            m_shooters.push_back(std::make_unique<LoadWorker>(
                    parseEndpoints(FLAGS_entries), m_shooters.size(), FLAGS_run, &m_reports));
            m_shooters.back()->start();
            m_idle.push_back(m_shooters.back().get());
        }
        LoadWorker *shooter = m_idle.back();
        m_idle.pop_back();
        return shooter;
    }

    /// Takes in reports until \a deadline, or until one came if \a untilOne.
    void collect(TimePoint deadline, bool untilOne)
    {
        do {
            for (RequestEnded &report : m_reports.takeUntil(deadline)) {
                m_report->add(report.result);
                m_idle.push_back(report.worker);
                --m_open;
            }
        } while (!untilOne && monotonicNow() < deadline);
    }

    const Mix &m_mix;
    Report *m_report;
    Mailbox<RequestEnded> m_reports;
    std::vector<std::unique_ptr<LoadWorker>> m_shooters;
    std::vector<LoadWorker *> m_idle;
    std::size_t m_open = 0;
};

int fail(const std::string &line)
{
    std::cerr << line << '\n';
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo program{"buckthornford-load",
                              "open-loop load that checks every answer against the ledgers", ""};
    if (const auto status = readSettings(&argc, &argv, program, rules))
        return *status;
    std::ifstream file(FLAGS_mix);
    if (!file)
        return fail("--mix: cannot read \"" + FLAGS_mix + "\"");
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
    Dispatcher(mix, &report).run(plan);
    std::vector<std::string> missing;
    if (!FLAGS_ledgers.empty())
        report.compare(collectLedgers(parseEndpoints(FLAGS_ledgers), &missing));
    for (const std::string &endpointText : missing)
        std::cerr << "no ledger from " << endpointText << '\n';
    std::cout << (FLAGS_json ? report.toJson().dump() + "\n" : report.toText());
    return report.isClean() ? 0 : 1;
}
