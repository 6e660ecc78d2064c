#pragma once

/// Presets, the ruling that breaks ties, and the revisions of the configuration.

#include "core/core.h"
#include "routes/routes.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornford {

/// What a preset says of one class of requests.
struct ClassRule
{
    ClassName name;
    Rank rank;             ///< 0 is shed last
    Tokens retries;        ///< for the whole call chain of one request
    Duration timeout{0};   ///< where the request names none
    Duration objective{0}; ///< within which an answer is wanted; 0 if none is set
};

/// How equal claims are ordered.
enum class TieBreakOrder { EarliestDeadline, OldestFirst, NewestFirst, ByCaller, ByOperation };

struct TieBreaker
{
    TieBreakOrder order = TieBreakOrder::EarliestDeadline;
    std::vector<std::string> names; ///< with Callers and Operations: the first goes first

    /// Position of \a name in names; names that aren't listed come last, all alike.
    std::size_t position(std::string_view name) const;
};

struct Preset
{
    PresetName name;
    std::vector<ClassRule> classes;
    TieBreaker tieBreaker;
    double shortShare = 0.5;  ///< share of slots that long work leaves to short work
    double spillShare = 0.1;  ///< share of requests that may leave the region
    double hedgeShare = 0.02; ///< share of idempotent requests that may be hedged

    /// Returns the rule of \a name or nullptr.
    const ClassRule *findClass(const ClassName &name) const;

    /// The class of requests that name none: the one with the lowest claim.
    const ClassRule &lowestPriorityClass() const;
};

/// All presets and the one in force.
struct Document
{
    std::map<PresetName, Preset> presets;
    PresetName activePresetName;
    RouteTable routes; ///< empty where callers name the service themselves

    const Preset &activePreset() const { return presets.at(activePresetName); }
};

/// Why a document was refused.
struct DocumentError
{
    Error error = Error::BadDocument;
    std::string field; ///< path of the offending member
    std::string detail;
};

/// A document or what is wrong with it.
using DocumentResult = boost::outcome_v2::basic_result<Document, DocumentError,
                                                       boost::outcome_v2::policy::terminate>;

/// Reads a document from JSON text; docs/CONFIGURATION.md describes the format.
DocumentResult parseDocument(std::string_view text);

std::string toJsonText(const Document &document);

/// One accepted state of the configuration.
struct Configuration
{
    Revision revision;
    ChangeId change;
    WallTime effectiveAt; ///< in force from here on at every node
    Document document;
};

Result<Configuration> parseConfiguration(std::string_view text);
std::string toJsonText(const Configuration &configuration);

/// Revisions that a node knows. They only grow; the newest whose time has come is in force.
class ConfigurationHistory
{
public:
    /// Takes \a configuration if it is newer than all before. Returns whether it was.
    bool accept(Configuration configuration);

    /// Returns the configuration in force at \a now, or nullptr before the first one.
    const Configuration *activeAt(WallTime now) const;

    /// Returns the configuration with \a revision if it is still kept, else the one in force.
    const Configuration *findOrActive(Revision revision, WallTime now) const;

    /// Returns the newest accepted configuration or nullptr.
    const Configuration *newest() const;

private:
    static constexpr std::size_t maxKept = 64;

    std::map<Revision, Configuration> m_configurations;
};

/// A change that an operator asks for.
struct Change
{
    enum class Kind { PutPreset, SwitchPreset, ReplaceAll };

    Kind kind = Kind::SwitchPreset;
    ChangeId id;
    std::optional<Revision> basedOn; ///< refuse if the newest revision is another
    PresetName preset;
    std::optional<Document> document; ///< with PutPreset and ReplaceAll
};

/// Applies \a change to \a before (nullptr if there is none yet); the result takes effect
/// \a spread after \a now.
Result<Configuration> applyChange(const Configuration *before, const Change &change, WallTime now,
                                  Duration spread);

} // namespace buckthornford
