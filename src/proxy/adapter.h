#pragma once

/// Interfaces through which a node uses the names and formats of the platform it runs on. An
/// adapter translates names, formats and calls; it decides nothing and keeps no state.

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
    std::string path;            ///< request target without the query
    std::string callerRequestId; ///< id that the caller gave the request
    std::string parentRequestId; ///< id of the request for which the upstream makes this call; may
                                 ///< be empty
    CallRequest request;
};

/// Translates callers' requests and the HTTP responses to them.
class CallerCodec
{
public:
    virtual ~CallerCodec() = default;

    /// Reads \a request into \a call. If it is malformed, returns the response to send to the
    /// caller.
    virtual std::optional<ServerResponse> read(ServerRequest request, IncomingCall *call) const = 0;

    /// Returns the HTTP response that gives the caller of request \a id its \a answer.
    virtual ServerResponse makeResponse(RequestId id, Answer answer) const = 0;

    /// Returns the id that the caller gave the request with these \a headers; empty if none.
    virtual std::string_view callerRequestId(const HttpHeaders &headers) const = 0;
};

/// A report that an upstream instance sends about itself.
struct UpstreamAnnouncement
{
    enum class State { Serving, Draining, Deregistered };

    State state = State::Serving;
    std::string id;
    std::optional<std::uint64_t> start; ///< increases each time the instance starts
    std::uint64_t sequence = 0;         ///< increases with each report from one start
    ServiceName service;
    Endpoint address;
    Slots slots; ///< requests that the instance runs at once
};

/// Translates the reports of the upstream beside the node.
class AnnouncementCodec
{
public:
    virtual ~AnnouncementCodec() = default;

    /// Returns Error::NotFound if \a request is not a report and Error::MalformedJson if the report
    /// names no usable upstream.
    virtual Result<UpstreamAnnouncement> read(const ServerRequest &request) const = 0;

    /// Returns the response that confirms report \a id, so that the upstream may act on it.
    virtual ServerResponse acknowledge(RequestId id) const = 0;
};

/// A row of the platform's store, or a change to a row.
struct StoredRow
{
    std::string key;
    std::string value;
    bool isDeleted = false;
};

/// Result of a call to the store.
struct StoreResponse
{
    enum class State {
        Done,
        Unavailable, ///< nothing was done; the call may be sent again later
        Compacted,   ///< the store has dropped the requested history: read the whole table
        Malformed,
    };

    State state = State::Done;
    std::vector<StoredRow> rows;
    std::uint64_t version = 0; ///< newest version of the store, from which the next watch starts
    /// The history to which the response belongs. Versions of different eras can't be compared: the
    /// store gives them out again. Not set if the store doesn't say.
    std::optional<StoreEra> era;
};

/// Makes calls to the platform's store and reads its responses.
class StoreCodec
{
public:
    virtual ~StoreCodec() = default;

    virtual ClientRequest readConfiguration() const = 0;

    /// Returns a long-poll request: the store responds once the configuration's table has changed
    /// since \a version, or after \a wait at the latest.
    virtual ClientRequest watchConfiguration(std::uint64_t version, Duration wait) const = 0;

    /// Returns a request that stores \a value, the peer address of a node, under \a key.
    virtual ClientRequest putNode(const std::string &key, const std::string &value) const = 0;
    virtual ClientRequest removeNode(const std::string &key) const = 0;

    /// Returns a request that removes all rows of the node \a key, which is gone for good.
    virtual ClientRequest removeExpiredNode(const std::string &key) const = 0;

    /// Returns requests that store and read \a value, the departure of the upstream beside the
    /// node \a key.
    virtual ClientRequest putDeparture(const std::string &key, const std::string &value) const = 0;
    virtual ClientRequest readDeparture(const std::string &key) const = 0;
    virtual ClientRequest listNodes() const = 0;

    virtual StoreResponse read(const ClientResponse &response) const = 0;

    /// Whether \a row holds the operator's configuration.
    virtual bool isConfiguration(const StoredRow &row) const = 0;

    /// Whether \a row holds the departure of the upstream beside the node \a key.
    virtual bool isDeparture(const StoredRow &row, const std::string &key) const = 0;

    /// Returns Error::BadDocument if any part of \a text is not a valid configuration.
    virtual Result<Configuration> parseConfiguration(std::string_view text) const = 0;

    /// Returns the limits that the configuration in \a text sets for callers' connections.
    virtual HttpServerLimits callerLimits(std::string_view text) const = 0;
};

/// The codecs of one platform.
struct Adapter
{
    std::shared_ptr<const CallerCodec> callers;
    std::shared_ptr<const UpstreamCodec> upstream;
    std::shared_ptr<const AnnouncementCodec> announcements;
    std::shared_ptr<const StoreCodec> store;
};

} // namespace buckthornford
