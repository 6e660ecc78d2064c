#pragma once

/// What a node asks of the adapter that knows the formats of the platform it runs on. An adapter
/// translates names, formats and calls; it decides nothing and keeps no state.

#include "entry/entry.h"
#include "http1/http1.h"
#include "preset/preset.h"
#include "upstream/upstream.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornford {

/// A caller's request before its route is known.
struct IncomingCall
{
    std::string host;
    std::string path;   ///< target without the query
    std::string id;     ///< as the caller names its request
    std::string parent; ///< id of the request for which the upstream makes this call; may be empty
    CallRequest request;
};

/// Reads callers' requests and writes their answers.
class CallerDialect
{
public:
    virtual ~CallerDialect() = default;

    /// Reads \a request into \a call. An answer to give at once if it is malformed.
    virtual std::optional<DoorAnswer> read(DoorRequest request, IncomingCall *call) const = 0;

    virtual DoorAnswer answer(RequestId id, Answer answer) const = 0;

    /// How the caller named the request with these \a headers; empty if it didn't.
    virtual std::string_view nameOf(const HttpHeaders &headers) const = 0;
};

/// What an upstream instance says of itself.
struct UpstreamNews
{
    enum class State { Serving, Leaving, Gone };

    State state = State::Serving;
    std::string id;
    std::optional<std::uint64_t> start; ///< grows with each start of an instance
    std::uint64_t sequence = 0;         ///< grows with each report of one start
    ServiceName service;
    Endpoint address;
    Slots slots;
};

/// Reads the reports of the upstream beside the node.
class AnnouncementDialect
{
public:
    virtual ~AnnouncementDialect() = default;

    /// Error::NotFound for another call, Error::MalformedJson for a report that names no usable
    /// upstream.
    virtual Result<UpstreamNews> read(const DoorRequest &request) const = 0;

    /// Confirms a report, so that the upstream may act on it.
    virtual DoorAnswer acknowledge(RequestId id) const = 0;
};

/// A row of the platform's store, or a change of it.
struct StoredRow
{
    std::string key;
    std::string value;
    bool isDeleted = false;
};

/// What a read of the store gave.
struct StoreAnswer
{
    enum class State {
        Done,
        Refused,   ///< nothing was done; try again later
        Forgotten, ///< the history that was asked for is gone: read afresh
        Malformed,
    };

    State state = State::Done;
    std::vector<StoredRow> rows;
    std::uint64_t version = 0; ///< newest version of the store, to go on from
};

/// Writes calls to the platform's store and reads its answers.
class StoreDialect
{
public:
    virtual ~StoreDialect() = default;

    virtual ClientRequest readConfiguration() const = 0;

    /// Answers as soon as the configuration's table has changed after \a version, or \a wait
    /// later.
    virtual ClientRequest watchConfiguration(std::uint64_t version, Duration wait) const = 0;

    /// Stores under \a key where a node is found.
    virtual ClientRequest putNode(const std::string &key, const std::string &value) const = 0;
    virtual ClientRequest removeNode(const std::string &key) const = 0;
    virtual ClientRequest listNodes() const = 0;

    virtual StoreAnswer read(const ClientAnswer &answer) const = 0;

    /// Whether \a row holds the operator's configuration.
    virtual bool isConfiguration(const StoredRow &row) const = 0;

    /// Error::BadDocument if \a text is not a valid configuration as a whole.
    virtual Result<Configuration> parseConfiguration(std::string_view text) const = 0;

    /// The bounds that the configuration sets for callers' connections.
    virtual DoorLimits callerLimits(std::string_view text) const = 0;
};

/// All that a platform's adapter provides.
struct Adapter
{
    std::shared_ptr<const CallerDialect> callers;
    std::shared_ptr<const UpstreamDialect> upstream;
    std::shared_ptr<const AnnouncementDialect> announcements;
    std::shared_ptr<const StoreDialect> store;
};

} // namespace buckthornford
