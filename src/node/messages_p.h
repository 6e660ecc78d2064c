#pragma once

#include "admission_controller/admission_controller.h"
#include "dispatch/dispatch.h"
#include "link/link.h"
#include "membership/membership.h"
#include "node/upstream_pool_p.h"
#include "preset/preset.h"
#include "task/task.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornford {

using KeysResult = Result<std::vector<std::string>>;

// Messages to NodeTask.

/// A handler has parsed a request from a caller or from this node's upstream.
struct CallReceived
{
    RequestId id;
    CallRequest request;
    std::shared_ptr<ReplySlot<CallResult>> reply;
};

/// The client has closed its connection before the call ended.
struct CallAbandoned
{
    RequestId id;
};

/// Asks for \a count new idempotency keys for \a service.
struct KeysRequest
{
    ServiceName service;
    std::size_t count = 1;
    std::shared_ptr<ReplySlot<KeysResult>> reply;
};

/// A peer has opened a stream to this node.
struct IncomingStreamOpened
{
    StreamId stream;
    std::shared_ptr<FrameSink> sink;
};

struct IncomingFrame
{
    StreamId stream;
    Frame frame;
};

struct IncomingStreamClosed
{
    StreamId stream;
};

/// A frame on a stream that this node opened.
struct PeerFrame
{
    InstanceId peer;
    Frame frame;
};

/// A stream that this node opened has ended.
struct PeerStreamClosed
{
    InstanceId peer;
    StreamId stream;
    bool wasOpen = false; ///< whether the peer had sent its Hello
};

struct UpstreamJobEnded
{
    UpstreamWorker *worker = nullptr;
    UpstreamResult result;
};

/// What an upstream announces about itself, about once a second.
struct Announcement
{
    ServiceName service;
    Endpoint address;
    Slots slots;
    std::optional<std::uint32_t> load; ///< executions in progress; not set if not reported
    bool isLeaving = false;
    std::string startId; ///< another one after each restart of the upstream
};

struct UpstreamAnnounced
{
    Announcement announcement;
    std::shared_ptr<ReplySlot<bool>> reply; ///< whether this node is drained, so that a leaving
                                            ///< upstream may stop
};

/// The table of members has changed.
struct ViewChanged
{
    std::vector<Member> members;
};

/// A newer configuration came from the platform's table or from a peer.
struct ConfigurationArrived
{
    Configuration configuration;
};

/// Crashes of upstreams by request contents and releases of contents, from this or other nodes.
struct PoisonEventsReceived
{
    std::vector<PoisonEvent> events;
    std::optional<InstanceId> from; ///< the sender; not set for events of this node
};

/// Starts or ends the drain of this node.
struct DrainRequest
{
    bool enable = true;
};

/// Asks for a text for operators. The reply is the body of the HTTP response.
struct OperatorQuery
{
    enum class Topic { Status, Metrics, Spans, Configuration, Poison };
    Topic topic = Topic::Status;
    std::shared_ptr<ReplySlot<std::string>> reply;
};

using NodeMessage
        = std::variant<CallReceived, CallAbandoned, KeysRequest, IncomingStreamOpened,
                       IncomingFrame, IncomingStreamClosed, PeerFrame, PeerStreamClosed,
                       UpstreamJobEnded, UpstreamAnnounced, ViewChanged, ConfigurationArrived,
                       PoisonEventsReceived, DrainRequest, OperatorQuery>;

// Messages to MembershipTask. It also receives some of the messages above, see MembershipMessage.

/// What this node advertises of itself has changed.
struct SelfChanged
{
    MemberState state = MemberState::Joining;
    Slots slots;
    ServiceName service;
};

struct MembersRequest
{
    std::shared_ptr<ReplySlot<std::vector<Member>>> reply;
};

using MembershipMessage = std::variant<IncomingStreamOpened, IncomingFrame, IncomingStreamClosed,
                                       PeerFrame, PeerStreamClosed, SelfChanged,
                                       ConfigurationArrived, PoisonEventsReceived, MembersRequest>;

// Messages to ConfigurationTask.

/// Whether this node is one of those that poll the platform's table.
struct ReaderRoleChanged
{
    bool isReader = false;
};

/// Result of a change of the configuration.
struct ChangeOutcome
{
    Error error = Error::None;
    Revision revision;     ///< made by the change; if it was refused, the stored one
    ChangeId storedChange; ///< that made the stored revision; set if the change was refused
};

/// Asks to make \a change in the platform's table.
struct ChangeRequest
{
    Change change;
    std::shared_ptr<ReplySlot<ChangeOutcome>> reply;
};

using ConfigurationMessage = std::variant<ReaderRoleChanged, ChangeRequest>;

} // namespace buckthornford
