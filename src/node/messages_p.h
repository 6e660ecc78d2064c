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

// Messages to the node's task.

struct CallReceived
{
    RequestId id;
    CallRequest request;
    std::shared_ptr<ReplySlot<CallResult>> reply;
};

struct CallAbandoned
{
    RequestId id;
};

struct KeysRequest
{
    ServiceName service;
    std::size_t count = 1;
    std::shared_ptr<ReplySlot<KeysResult>> reply;
};

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

struct PeerFrame
{
    InstanceId peer;
    Frame frame;
};

struct PeerStreamClosed
{
    InstanceId peer;
    StreamId stream;
    bool wasOpen = false;
};

struct UpstreamJobEnded
{
    UpstreamWorker *worker = nullptr;
    UpstreamResult result;
};

/// What an upstream says of itself, about once a second.
struct Announcement
{
    ServiceName service;
    Endpoint address;
    Slots slots;
    std::optional<std::uint32_t> load; ///< executions in progress, if it says
    bool isLeaving = false;
    std::string startId; ///< changes when the upstream starts anew
};

struct UpstreamAnnounced
{
    Announcement announcement;
    std::shared_ptr<ReplySlot<bool>> drained; ///< whether a leaving upstream may stop
};

struct ViewChanged
{
    std::vector<Member> members;
};

struct ConfigurationArrived
{
    Configuration configuration;
};

/// Strikes from this node's upstream or from other nodes.
struct PoisonEventsReceived
{
    std::vector<PoisonEvent> events;
    std::optional<InstanceId> from; ///< who sent them; not set for this node's own
};

struct DrainRequest
{
    bool on = true;
};

/// A question from the operators' door; the answer is ready to send.
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

// Messages to the membership task; it gets the Channel and Peer messages too.

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

// Messages to the platform task.

struct ReaderRoleChanged
{
    bool isReader = false;
};

/// What became of a change.
struct ChangeOutcome
{
    Error error = Error::None;
    Revision revision; ///< of the change itself, or of the one that won
    ChangeId winner;   ///< with Error::Conflict
};

struct ChangeRequest
{
    Change change;
    std::shared_ptr<ReplySlot<ChangeOutcome>> reply;
};

using ConfigurationMessage = std::variant<ReaderRoleChanged, ChangeRequest>;

} // namespace buckthornford
