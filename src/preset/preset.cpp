#include "preset/preset.h"

#include <algorithm>

namespace buckthornford {

std::size_t TieBreaker::position(std::string_view name) const
{
    return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

const ClassRule *Preset::findClass(const ClassName &wanted) const
{
    const auto found
            = std::find_if(classes.begin(), classes.end(),
                           [&wanted](const ClassRule &rule) { return rule.name == wanted; });
    return found == classes.end() ? nullptr : &*found;
}

Duration Preset::objectiveOf(const ClassName &className) const
{
    const ClassRule *rule = findClass(className);
    return rule == nullptr ? Duration{0} : rule->objective;
}

const ClassRule &Preset::lowestPriorityClass() const
{
    return *std::max_element(classes.begin(), classes.end(),
                             [](const auto &a, const auto &b) { return a.rank < b.rank; });
}

bool ConfigurationHistory::accept(Configuration configuration)
{
    if (!m_configurations.empty() && configuration.revision <= m_configurations.rbegin()->first)
        return false;
    const Revision revision = configuration.revision;
    m_configurations.emplace(revision, std::move(configuration));
    if (m_configurations.size() > maxRevisions)
        m_configurations.erase(m_configurations.begin());
    return true;
}

void ConfigurationHistory::replaceOrAccept(Configuration configuration)
{
    const auto found = m_configurations.find(configuration.revision);
    if (found != m_configurations.end())
        found->second = std::move(configuration);
    else
        accept(std::move(configuration));
}

const Configuration *ConfigurationHistory::activeAt(WallTime now) const
{
    for (auto it = m_configurations.rbegin(); it != m_configurations.rend(); ++it) {
        if (it->second.effectiveAt <= now)
            return &it->second;
    }
    // No configuration has taken effect yet, so the oldest one applies.
    return m_configurations.empty() ? nullptr : &m_configurations.begin()->second;
}

const Configuration *ConfigurationHistory::findOrActive(Revision revision, WallTime now) const
{
    const auto found = m_configurations.find(revision);
    return found == m_configurations.end() ? activeAt(now) : &found->second;
}

const Configuration *ConfigurationHistory::newest() const
{
    return m_configurations.empty() ? nullptr : &m_configurations.rbegin()->second;
}

namespace {

using ApplyFunction = Result<Document> (*)(const Document *before, const Change &change);

Result<Document> putPreset(const Document *before, const Change &change)
{
    if (!change.document || !change.document->presets.contains(change.preset))
        return Error::BadDocument;
    if (before == nullptr)
        return *change.document;
    Document document = *before;
    document.presets[change.preset] = change.document->presets.at(change.preset);
    return document;
}

Result<Document> switchPreset(const Document *before, const Change &change)
{
    if (before == nullptr || !before->presets.contains(change.preset))
        return Error::BadPreset;
    Document document = *before;
    document.activePresetName = change.preset;
    return document;
}

Result<Document> replaceAll(const Document *, const Change &change)
{
    if (!change.document)
        return Error::BadDocument;
    return *change.document;
}

/// In the order of Change::Kind.
constexpr std::array<ApplyFunction, 3> applyFunctions{putPreset, switchPreset, replaceAll};

} // namespace

Result<Configuration> applyChange(const Configuration *before, const Change &change, WallTime now,
                                  Duration propagationDelay)
{
    const Revision lastRevision = before == nullptr ? Revision{0} : before->revision;
    if (change.basedOn && *change.basedOn != lastRevision)
        return Error::Conflict;
    const ApplyFunction apply = applyFunctions[static_cast<std::size_t>(change.kind)];
    Result<Document> document = apply(before == nullptr ? nullptr : &before->document, change);
    if (!document)
        return document.error();
    // A node whose clock lags must not let this change take effect before an earlier one.
    const std::int64_t earliestEffectiveAt = before == nullptr ? 0 : before->effectiveAt.value();
    const WallTime effectiveAt{
            std::max(now.value() + propagationDelay.count(), earliestEffectiveAt)};
    return Configuration{Revision{lastRevision.value() + 1}, change.id, effectiveAt,
                         std::move(document.value())};
}

} // namespace buckthornford
