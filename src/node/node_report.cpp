#include "node/node_task_p.h"

#include <nlohmann/json.hpp>

namespace buckthornford {

using nlohmann::json;

std::string NodeTask::statusText() const
{
    const LoadReport load = m_admission.load();
    const WallTime wall = steadyWallNow();
    const Configuration *configuration = m_history.activeAt(wall);
    json classes = json::object();
    for (const auto &[name, metrics] : m_dispatchMetrics.classes()) {
        json outcomes = json::object();
        for (std::size_t i = 0; i < metrics.outcomes.size(); ++i)
            outcomes[std::string(outcomeName(static_cast<Outcome>(i)))] = metrics.outcomes[i];
        json reasons = json::object();
        for (const auto &[reason, count] : metrics.reasons)
            reasons[std::string(errorRow(reason).name)] = count;
        classes[name.value()] = {{"outcomes", outcomes},
                                 {"reasons", reasons},
                                 {"p50Ms", toMilliseconds(metrics.latency.quantile(0.5))},
                                 {"p99Ms", toMilliseconds(metrics.latency.quantile(0.99))}};
    }
    const IdempotencyTable &idempotency = m_admission.idempotencyTable();
    json status{
            {"instance", m_settings.instance.value()},
            {"zone", m_settings.zone.value()},
            {"region", m_settings.region.value()},
            {"incarnation", toHex(m_self.incarnation.value())},
            {"policy", m_settings.policy},
            {"service", m_publishedStatus ? m_publishedStatus->service.value() : ""},
            {"state", memberStateName(memberState())},
            {"drained", isDrained(monotonicNow())},
            {"liveNodes", m_liveNodeCount},
            {"revision", configuration == nullptr ? 0 : configuration->revision.value()},
            {"preset",
             configuration == nullptr ? "" : configuration->document.activePresetName.value()},
            {"upstream", {{"present", m_upstream.has_value()}}},
            {"gate", {{"inFlight", load.inFlight}, {"limit", load.limit}, {"queued", load.queued}}},
            {"record",
             {{"keys", idempotency.size()},
              {"bytes", idempotency.storedAnswerBytes().value()},
              {"resends", idempotency.duplicateCount()}}},
            {"openCalls", m_dispatcher.openCalls()},
            {"streams", m_link.size()},
            {"upstreamConnections", m_pool.size()},
            {"classes", classes},
    };
    if (m_upstream) {
        status["upstream"]["address"] = m_upstream->announcement.address.toString();
        status["upstream"]["slots"] = m_upstream->announcement.slots.value();
    }
    return status.dump();
}

std::string NodeTask::metricsText() const
{
    const LoadReport load = m_admission.load();
    std::string text = m_dispatchMetrics.exposition("buckthornford_entry");
    text += m_admissionMetrics.exposition("buckthornford_gate");
    const auto gauge = [&text](std::string_view name, std::uint64_t value) {
        text += "buckthornford_" + std::string(name) + " " + std::to_string(value) + "\n";
    };
    gauge("gate_in_flight", load.inFlight);
    gauge("gate_limit", load.limit);
    gauge("gate_queued", load.queued);
    gauge("record_keys", m_admission.idempotencyTable().size());
    gauge("record_resends_total", m_admission.idempotencyTable().duplicateCount());
    gauge("live_nodes", m_liveNodeCount);
    gauge("peer_bytes_sent_total", sentPeerBytes());
    const Configuration *newest = m_history.newest();
    gauge("configuration_revision", newest == nullptr ? 0 : newest->revision.value());
    return text;
}

std::string NodeTask::spansText() const
{
    std::string text;
    for (const Span &span : m_spans.spans())
        text += toOtlpLine(span) + "\n";
    return text;
}

std::string NodeTask::poisonText() const
{
    json rows = json::array();
    for (const PoisonDetector::Row &row : m_poison.rows())
        rows.push_back({{"content", toHex(row.content.value())},
                        {"crashes", row.crashes},
                        {"refused", row.isPoisonous}});
    return json{{"contents", rows}}.dump();
}

std::string NodeTask::configurationText() const
{
    const Configuration *configuration = m_history.newest();
    if (configuration == nullptr)
        return R"({"revision":0})";
    json text = json::parse(toJsonText(*configuration));
    const Configuration *active = m_history.activeAt(steadyWallNow());
    text["revisionInForce"] = active->revision.value();
    return text.dump();
}

} // namespace buckthornford
