#pragma once

#include "entry/entry.h"
#include "gate/gate.h"
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

struct CallBegun
{
    RequestId id;
    CallRequest request;
    std::shared_ptr<ReplySlot<CallResult>> reply;
};

struct CallerLeft
{
    RequestId id;
};

struct KeysWanted
{
    ServiceName service;
    std::size_t count = 1;
    std::shared_ptr<ReplySlot<KeysResult>> reply;
};

struct ChannelOpened
{
    ChannelId channel;
    std::shared_ptr<FrameSink> sink;
};

struct ChannelFrame
{
    ChannelId channel;
    Frame frame;
};

struct ChannelClosed
{
    ChannelId channel;
};

struct PeerFrame
{
    InstanceId peer;
    Frame frame;
};

struct PeerEnded
{
    InstanceId peer;
    ChannelId channel;
    bool wasOpen = false;
};

struct UpstreamEnded
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
struct StrikesArrived
{
    std::vector<Strike> strikes;
    std::optional<InstanceId> from; ///< who sent them; not set for this node's own
};

struct DrainWanted
{
    bool on = true;
};

/// A question from the operators' door; the answer is ready to send.
struct Question
{
    enum class About { Status, Metrics, Spans, Configuration, Poison };
    About about = About::Status;
    std::shared_ptr<ReplySlot<std::string>> reply;
};

using NodeMessage
        = std::variant<CallBegun, CallerLeft, KeysWanted, ChannelOpened, ChannelFrame,
                       ChannelClosed, PeerFrame, PeerEnded, UpstreamEnded, UpstreamAnnounced,
                       ViewChanged, ConfigurationArrived, StrikesArrived, DrainWanted, Question>;

// Messages to the membership task; it gets the Channel and Peer messages too.

struct SelfChanged
{
    MemberState state = MemberState::Joining;
    Slots slots;
    ServiceName service;
};

struct MembersWanted
{
    std::shared_ptr<ReplySlot<std::vector<Member>>> reply;
};

using MembershipMessage
        = std::variant<ChannelOpened, ChannelFrame, ChannelClosed, PeerFrame, PeerEnded,
                       SelfChanged, ConfigurationArrived, StrikesArrived, MembersWanted>;

// Messages to the platform task.

struct ReaderChosen
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

struct ChangeWanted
{
    Change change;
    std::shared_ptr<ReplySlot<ChangeOutcome>> reply;
};

using PlatformMessage = std::variant<ReaderChosen, ChangeWanted>;

} // namespace buckthornford
