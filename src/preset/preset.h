#pragma once

/// Presets, the tie-breaker among requests of equal rank, and the revisions of the configuration.

#include "core/core.h"
#include "routes/routes.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornford {

/// Rules of a preset for one class of requests.
struct ClassRule
{
    ClassName name;
    Rank rank;             ///< 0 is the highest priority, refused last
    Tokens retries;        ///< retry budget of the whole call chain of one request
    Duration timeout{0};   ///< of requests that name none
    Duration objective{0}; ///< target latency; 0 if none is set
};

/// Order of requests of equal rank.
enum class TieBreakOrder { EarliestDeadline, OldestFirst, NewestFirst, ByCaller, ByOperation };

/// Total order among requests of equal rank.
struct TieBreaker
{
    TieBreakOrder order = TieBreakOrder::EarliestDeadline;
    std::vector<std::string> names; ///< for ByCaller and ByOperation: the first goes first

    /// Returns the position of \a name in names. All names that are not listed share the position
    /// after the last.
    std::size_t position(std::string_view name) const;
};

/// A named set of rules that operators switch to as a whole.
struct Preset
{
    PresetName name;
    std::vector<ClassRule> classes;
    TieBreaker tieBreaker;
    double shortShare = 0.5;  ///< share of slots reserved for short work
    double spillShare = 0.1;  ///< share of requests that may leave the region
    double hedgeShare = 0.02; ///< share of idempotent requests that may be hedged

    /// Returns the rule of \a name or nullptr.
    const ClassRule *findClass(const ClassName &name) const;

    /// Returns the latency objective of \a className; zero if it has none.
    Duration objectiveOf(const ClassName &className) const;

    /// Returns the class with the highest rank number, which applies to requests that name none.
    const ClassRule &lowestPriorityClass() const;
};

/// All presets and the name of the active one.
struct Document
{
    std::map<PresetName, Preset> presets;
    PresetName activePresetName;
    RouteTable routes; ///< empty if callers name the service themselves

    const Preset &activePreset() const { return presets.at(activePresetName); }
};

/// Why a document was refused.
struct DocumentError
{
    Error error = Error::BadDocument;
    std::string field; ///< path of the offending member
    std::string detail;
};

/// A document, or why it was refused.
using DocumentResult = boost::outcome_v2::basic_result<Document, DocumentError,
                                                       boost::outcome_v2::policy::terminate>;

/// Reads a document from JSON text; docs/CONFIGURATION.md describes the format.
DocumentResult parseDocument(std::string_view text);

/// Returns the document as indented JSON, without its routes.
std::string toJsonText(const Document &document);

/// One accepted state of the configuration.
struct Configuration
{
    Revision revision;
    ChangeId change;
    WallTime effectiveAt; ///< active from this time on at every node
    Document document;
};

/// Reads what toJsonText() wrote; Error::BadDocument or the error of the document if it is invalid.
Result<Configuration> parseConfiguration(std::string_view text);
std::string toJsonText(const Configuration &configuration);

/// The revisions that a node knows. They only grow; the newest one whose effectiveAt has passed is
/// active.
class ConfigurationHistory
{
public:
    /// Adds \a configuration if it is newer than all others. Returns whether it was.
    bool accept(Configuration configuration);

    /// Puts \a configuration in place of the one with its revision, or else accepts it.
    void replaceOrAccept(Configuration configuration);

    /// Returns the configuration that is active at \a now: the oldest one if none has taken effect
    /// yet, nullptr if there is none.
    const Configuration *activeAt(WallTime now) const;

    /// Returns the configuration with \a revision if it is still kept, else the active one.
    const Configuration *findOrActive(Revision revision, WallTime now) const;

    /// Returns the newest accepted configuration or nullptr.
    const Configuration *newest() const;

private:
    static constexpr std::size_t maxRevisions = 64;

    std::map<Revision, Configuration> m_configurations;
};

/// A change of the configuration that an operator requests.
struct Change
{
    /// PutPreset adds or replaces one preset, SwitchPreset makes another one active, and ReplaceAll
    /// replaces the whole document.
    enum class Kind { PutPreset, SwitchPreset, ReplaceAll };

    Kind kind = Kind::SwitchPreset;
    ChangeId id;
    std::optional<Revision> basedOn;  ///< refused with Error::Conflict if not the newest one
    PresetName preset;                ///< with PutPreset and SwitchPreset
    std::optional<Document> document; ///< with PutPreset and ReplaceAll
};

/// Applies \a change to \a before (nullptr if there is none yet); the result takes effect
/// \a propagationDelay (the time that it may take to reach every node) after \a now, but not
/// earlier than \a before does.
Result<Configuration> applyChange(const Configuration *before, const Change &change, WallTime now,
                                  Duration propagationDelay);

} // namespace buckthornford
