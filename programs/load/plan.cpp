#include "load/plan.h"

#include "settings/settings.h"

#include <nlohmann/json.hpp>

#include <random>

namespace buckthornford {

namespace {

using nlohmann::json;

RequestKind readKind(const json &object)
{
    RequestKind kind;
    kind.name = object.at("name");
    kind.className = object.at("class");
    kind.caller = object.at("caller");
    kind.service = object.at("service");
    kind.operation = object.at("operation");
    kind.method = object.value("method", kind.method);
    kind.weight = object.value("weight", kind.weight);
    kind.timeout = std::chrono::milliseconds(object.value("timeoutMs", 1000));
    kind.resends = object.value("resends", kind.resends);
    kind.answerBytes = object.value("answerBytes", kind.answerBytes);
    kind.usesKey = object.value("usesKey", kind.usesKey);
    kind.crashes = object.value("crashes", kind.crashes);
    kind.isDirect = object.value("direct", kind.isDirect);
    return kind;
}

} // namespace

MixResult parseMix(std::string_view text)
{
    const json root = json::parse(text, nullptr, false);
    if (root.is_discarded())
        return std::string("the mix is not well-formed JSON");
    Mix mix;
    try {
        for (const json &object : root.at("requests"))
            mix.kinds.push_back(readKind(object));
        for (const json &object : root.at("phases"))
            mix.phases.push_back(
                    {object.value("name", ""), object.at("seconds"), object.at("rate")});
    } catch (const json::exception &exception) {
        return std::string("the mix is not valid: ") + exception.what();
    }
    if (mix.kinds.empty() || mix.phases.empty())
        return std::string("the mix needs at least one request and one phase");
    return mix;
}

std::vector<Phase> parsePhases(std::string_view text)
{
    std::vector<Phase> phases;
    for (const std::string &part : splitList(text, ',')) {
        const std::size_t colon = part.find(':');
        const std::size_t times = part.find('x', colon == std::string::npos ? 0 : colon);
        if (colon == std::string::npos || times == std::string::npos)
            return {};
        const std::string seconds = part.substr(colon + 1, times - colon - 1);
        const std::string rate = part.substr(times + 1);
        if (!isDecimal(seconds, 0.001, 86'400) || !isDecimal(rate, 0, 1e6))
            return {};
        phases.push_back({part.substr(0, colon), std::stod(seconds), std::stod(rate)});
    }
    return phases;
}

std::vector<PlannedRequest> makePlan(const Mix &mix, std::uint64_t seed)
{
    constexpr double microsecondsPerSecond = 1e6;
    std::mt19937_64 random(seed);
    std::vector<double> weights;
    for (const RequestKind &kind : mix.kinds)
        weights.push_back(kind.weight);
    std::discrete_distribution<std::size_t> pickKind(weights.begin(), weights.end());
    std::vector<PlannedRequest> plan;
    double phaseStart = 0.0;
    for (std::size_t phase = 0; phase < mix.phases.size(); ++phase) {
        const Phase &current = mix.phases[phase];
        const double end = phaseStart + current.seconds;
        std::exponential_distribution<double> gap(std::max(1e-9, current.rate));
        double time = phaseStart + gap(random);
        while (time < end) {
            const auto due = static_cast<Duration::rep>(time * microsecondsPerSecond);
            plan.push_back({plan.size(), pickKind(random), phase, Duration{due}});
            time += gap(random);
        }
        phaseStart = end;
    }
    return plan;
}

} // namespace buckthornford
