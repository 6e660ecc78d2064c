#pragma once

/// What a node asks of the adapter that knows the formats of the platform it runs on. An adapter
/// translates names, formats and calls; it decides nothing and keeps no state.

#include "dispatch/dispatch.h"
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
    std::string path;            ///< target without the query
    std::string callerRequestId; ///< as the caller names its request
    std::string parentRequestId; ///< id of the request for which the upstream makes this call; may
                                 ///< be empty
    CallRequest request;
};

/// Reads callers' requests and writes their answers.
class CallerCodec
{
public:
    virtual ~CallerCodec() = default;

    /// Reads \a request into \a call. An answer to give at once if it is malformed.
    virtual std::optional<ServerResponse> read(ServerRequest request, IncomingCall *call) const = 0;

    virtual ServerResponse makeResponse(RequestId id, Answer answer) const = 0;

    /// How the caller named the request with these \a headers; empty if it didn't.
    virtual std::string_view callerRequestId(const HttpHeaders &headers) const = 0;
};

/// What an upstream instance says of itself.
struct UpstreamAnnouncement
{
    enum class State { Serving, Draining, Deregistered };

    State state = State::Serving;
    std::string id;
    std::optional<std::uint64_t> start; ///< grows with each start of an instance
    std::uint64_t sequence = 0;         ///< grows with each report of one start
    ServiceName service;
    Endpoint address;
    Slots slots;
};

/// Reads the reports of the upstream beside the node.
class AnnouncementCodec
{
public:
    virtual ~AnnouncementCodec() = default;

    /// Error::NotFound for another call, Error::MalformedJson for a report that names no usable
    /// upstream.
    virtual Result<UpstreamAnnouncement> read(const ServerRequest &request) const = 0;

    /// Confirms a report, so that the upstream may act on it.
    virtual ServerResponse acknowledge(RequestId id) const = 0;
};

/// A row of the platform's store, or a change of it.
struct StoredRow
{
    std::string key;
    std::string value;
    bool isDeleted = false;
};

/// What a read of the store gave.
struct StoreResponse
{
    enum class State {
        Done,
        Unavailable, ///< nothing was done; try again later
        Compacted,   ///< the history that was asked for is gone: read afresh
        Malformed,
    };

    State state = State::Done;
    std::vector<StoredRow> rows;
    std::uint64_t version = 0; ///< newest version of the store, to go on from
};

/// Writes calls to the platform's store and reads its answers.
class StoreCodec
{
public:
    virtual ~StoreCodec() = default;

    virtual ClientRequest readConfiguration() const = 0;

    /// Answers as soon as the configuration's table has changed after \a version, or \a wait
    /// later.
    virtual ClientRequest watchConfiguration(std::uint64_t version, Duration wait) const = 0;

    /// Stores under \a key where a node is found.
    virtual ClientRequest putNode(const std::string &key, const std::string &value) const = 0;
    virtual ClientRequest removeNode(const std::string &key) const = 0;
    virtual ClientRequest listNodes() const = 0;

    virtual StoreResponse read(const ClientResponse &answer) const = 0;

    /// Whether \a row holds the operator's configuration.
    virtual bool isConfiguration(const StoredRow &row) const = 0;

    /// Error::BadDocument if \a text is not a valid configuration as a whole.
    virtual Result<Configuration> parseConfiguration(std::string_view text) const = 0;

    /// The bounds that the configuration sets for callers' connections.
    virtual HttpServerLimits callerLimits(std::string_view text) const = 0;
};

/// All that a platform's adapter provides.
struct Adapter
{
    std::shared_ptr<const CallerCodec> callers;
    std::shared_ptr<const UpstreamCodec> upstream;
    std::shared_ptr<const AnnouncementCodec> announcements;
    std::shared_ptr<const StoreCodec> store;
};

} // namespace buckthornford
