#include "link/codec_p.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>

namespace buckthornford {

namespace {

constexpr double permille = 1000.0;
constexpr double maxUtilization = 1000.0;

using google::protobuf::internal::WireFormatLite;

/// Returns the size of a length-delimited field with \a number whose value has \a size bytes.
std::size_t lengthFieldSize(int number, std::size_t size)
{
    return WireFormatLite::TagSize(number, WireFormatLite::TYPE_BYTES)
           + WireFormatLite::LengthDelimitedSize(size);
}

/// Writes the tag and the length of such a field, without the value.
void writeLengthField(int number, std::size_t size, google::protobuf::io::CodedOutputStream *out)
{
    WireFormatLite::WriteTag(number, WireFormatLite::WIRETYPE_LENGTH_DELIMITED, out);
    out->WriteVarint32(static_cast<std::uint32_t>(size));
}

/// Returns where the value starts of the length-delimited field with \a number at the start of
/// \a bytes; 0 if there is another field, or the value doesn't have \a size bytes with its head.
std::size_t startOfValue(std::string_view bytes, int number, std::size_t size)
{
    google::protobuf::io::CodedInputStream in(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                              static_cast<int>(bytes.size()));
    std::uint32_t length = 0;
    if (in.ReadTag() != WireFormatLite::MakeTag(number, WireFormatLite::WIRETYPE_LENGTH_DELIMITED)
        || !in.ReadVarint32(&length))
        return 0;
    const auto start = static_cast<std::size_t>(in.CurrentPosition());
    return start + length == size ? start : 0;
}

/// The place of a run's body in the batch that holds only that run, with its body at the end.
struct BodyPlace
{
    std::size_t runStart = 0;
    std::size_t headEnd = 0; ///< end of the run's other fields
    std::size_t start = 0;   ///< of the body
};

/// Finds the body in a batch of \a batchSize bytes, of which \a bytes have arrived.
std::optional<BodyPlace> findBodyAtEnd(std::string_view bytes, std::size_t batchSize)
{
    BodyPlace place;
    const std::size_t frameStart = startOfValue(bytes, wire::Batch::kFramesFieldNumber, batchSize);
    if (frameStart == 0)
        return std::nullopt;
    const std::size_t runStart = startOfValue(bytes.substr(frameStart),
                                              wire::Frame::kRunFieldNumber, batchSize - frameStart);
    if (runStart == 0)
        return std::nullopt;
    place.runStart = frameStart + runStart;
    const std::string_view run = bytes.substr(place.runStart);
    google::protobuf::io::CodedInputStream in(reinterpret_cast<const std::uint8_t *>(run.data()),
                                              static_cast<int>(run.size()));
    for (;;) {
        place.headEnd = place.runStart + static_cast<std::size_t>(in.CurrentPosition());
        const std::uint32_t tag = in.ReadTag();
        if (WireFormatLite::GetTagFieldNumber(tag) == wire::Run::kBodyFieldNumber)
            break;
        if (tag == 0 || !WireFormatLite::SkipField(&in, tag))
            return std::nullopt;
    }
    const std::size_t start = startOfValue(bytes.substr(place.headEnd), wire::Run::kBodyFieldNumber,
                                           batchSize - place.headEnd);
    place.start = place.headEnd + start;
    return start == 0 ? std::nullopt : std::optional(place);
}

std::uint32_t toPermille(Utilization utilization)
{
    return static_cast<std::uint32_t>(std::clamp(utilization.value(), 0.0, maxUtilization)
                                      * permille);
}

bool parseHead(std::string_view batch, const BodyPlace &place, wire::Run *head)
{
    return head->ParseFromArray(batch.data() + place.runStart,
                                static_cast<int>(place.headEnd - place.runStart));
}

void encodePeer(const PeerRef &peer, wire::Peer *out)
{
    out->set_instance(peer.instance.value());
    out->set_incarnation(peer.incarnation.value());
    out->set_address(peer.address);
}

PeerRef decodePeer(const wire::Peer &peer)
{
    return {InstanceId{peer.instance()}, Incarnation{peer.incarnation()}, peer.address()};
}

template <class Message>
void encodeHeaders(const HttpHeaders &headers, Message *out)
{
    for (const auto &[name, value] : headers) {
        wire::Header *header = out->add_headers();
        header->set_name(name);
        header->set_value(value);
    }
}

template <class Message>
HttpHeaders decodeHeaders(Message *in)
{
    HttpHeaders headers;
    headers.reserve(static_cast<std::size_t>(in->headers_size()));
    for (wire::Header &header : *in->mutable_headers())
        headers.emplace_back(std::move(*header.mutable_name()), std::move(*header.mutable_value()));
    return headers;
}

void encodeKind(const Hello &hello, wire::Frame *out)
{
    encodePeer(hello.peer, out->mutable_hello()->mutable_peer());
}

void encodeAllButBody(const RunRequest &run, wire::Run *out)
{
    const Work &work = run.work;
    out->set_request(run.request.value());
    out->set_attempt(run.attempt.value());
    out->set_service(work.service.value());
    out->set_operation(work.operation.value());
    out->set_method(work.method);
    out->set_query(work.query);
    out->set_class_name(work.className.value());
    out->set_caller(work.caller.value());
    out->set_idempotent(work.idempotent);
    out->set_key(work.key);
    out->set_content_type(work.contentType);
    out->set_body_checksum(checksum(work.body.view()));
    out->set_time_left_us(run.timeLeft.count());
    out->set_age_us(run.age.count());
    out->set_budget(run.retryBudget.value());
    out->set_depth(run.depth.value());
    out->set_revision(run.revision.value());
    wire::Trace *trace = out->mutable_trace();
    trace->set_trace_high(run.trace.traceHigh);
    trace->set_trace_low(run.trace.traceLow);
    trace->set_span(run.trace.span);
    trace->set_sampled(run.trace.sampled);
    out->set_target(work.target);
    encodeHeaders(work.headers, out);
    out->set_is_repeat(run.isRepeat);
    if (run.chainRank)
        out->set_chain_rank(run.chainRank->value());
    if (run.alternate)
        encodePeer(*run.alternate, out->mutable_alternate());
}

void encodeKind(const RunRequest &run, wire::Frame *frame)
{
    encodeAllButBody(run, frame->mutable_run());
    frame->mutable_run()->set_body(std::string(run.work.body.view()));
}

RunRequest decodeAllButBody(wire::Run *in)
{
    RunRequest run;
    run.request = RequestId{in->request()};
    run.attempt = AttemptNumber{in->attempt()};
    run.work = Work{ServiceName{in->service()},
                    OperationName{in->operation()},
                    in->method(),
                    in->query(),
                    ClassName{in->class_name()},
                    CallerName{in->caller()},
                    in->idempotent(),
                    in->key(),
                    in->content_type(),
                    {},
                    std::move(*in->mutable_target()),
                    decodeHeaders(in)};
    run.timeLeft = Duration{in->time_left_us()};
    run.age = Duration{in->age_us()};
    run.retryBudget = Tokens{in->budget()};
    run.depth = Depth{in->depth()};
    run.revision = Revision{in->revision()};
    const wire::Trace &trace = in->trace();
    run.trace = {trace.trace_high(), trace.trace_low(), trace.span(), trace.sampled()};
    run.isRepeat = in->is_repeat();
    if (in->has_chain_rank())
        run.chainRank = Rank{in->chain_rank()};
    if (in->has_alternate())
        run.alternate = decodePeer(in->alternate());
    return run;
}

/// Returns nothing if \a body doesn't match its checksum, so that damaged work never runs.
std::optional<Frame> decodeRun(wire::Run *in, SharedBytes body)
{
    if (checksum(body.view()) != in->body_checksum())
        return std::nullopt;
    RunRequest run = decodeAllButBody(in);
    run.work.body = std::move(body);
    return run;
}

void encodeKind(const Answer &answer, wire::Frame *frame)
{
    wire::Answer *out = frame->mutable_answer();
    out->set_request(answer.request.value());
    out->set_attempt(answer.attempt.value());
    out->set_outcome(static_cast<std::uint32_t>(answer.outcome));
    out->set_reason(static_cast<std::uint32_t>(answer.reason));
    out->set_retryable(answer.retryable);
    out->set_status(static_cast<std::uint32_t>(answer.status));
    out->set_content_type(answer.contentType);
    out->set_body(answer.body);
    out->set_body_checksum(answer.bodyChecksum);
    out->set_moved_key(answer.movedKey);
    out->set_budget_left(answer.retryBudgetLeft.value());
    out->set_in_flight(answer.load.inFlight);
    out->set_limit(answer.load.limit);
    out->set_queued(answer.load.queued);
    out->set_chain_utilization_permille(toPermille(answer.load.chainUtilization));
    out->set_queue_wait_us(answer.queueWait.count());
    out->set_replayed(answer.replayed);
    out->set_crash(answer.crashId);
    encodeHeaders(answer.headers, out);
    out->set_was_offered(answer.reachedUpstream);
    out->set_service_time_us(answer.serviceTime.count());
    out->set_retry_after_us(answer.retryAfter.count());
}

/// Returns nothing for an unknown outcome or reason. The body's checksum is passed on, not checked.
std::optional<Frame> decodeAnswer(wire::Answer *in)
{
    if (in->outcome() > static_cast<std::uint32_t>(Outcome::Unknown)
        || in->reason() > static_cast<std::uint32_t>(Error::Internal))
        return std::nullopt;
    Answer answer;
    answer.request = RequestId{in->request()};
    answer.attempt = AttemptNumber{in->attempt()};
    answer.outcome = static_cast<Outcome>(in->outcome());
    answer.reason = static_cast<Error>(in->reason());
    answer.retryable = in->retryable();
    answer.status = static_cast<int>(in->status());
    answer.contentType = in->content_type();
    answer.body = std::move(*in->mutable_body());
    answer.bodyChecksum = in->body_checksum();
    answer.movedKey = in->moved_key();
    answer.retryBudgetLeft = Tokens{in->budget_left()};
    answer.load = {in->in_flight(), in->limit(), in->queued(),
                   Utilization{in->chain_utilization_permille() / permille}};
    answer.queueWait = Duration{in->queue_wait_us()};
    answer.replayed = in->replayed();
    answer.crashId = in->crash();
    answer.headers = decodeHeaders(in);
    answer.reachedUpstream = in->was_offered();
    answer.serviceTime = Duration{in->service_time_us()};
    answer.retryAfter = Duration{in->retry_after_us()};
    return answer;
}

void encodeKind(const Cancel &cancel, wire::Frame *out)
{
    out->mutable_cancel()->set_request(cancel.request.value());
    out->mutable_cancel()->set_attempt(cancel.attempt.value());
}

void encodeMember(const Member &member, wire::Member *out)
{
    encodePeer(member.peer, out->mutable_peer());
    out->set_version(member.version);
    out->set_state(static_cast<std::uint32_t>(member.state));
    out->set_suspected(member.suspected);
    out->set_service(member.service.value());
    out->set_zone(member.zone.value());
    out->set_region(member.region.value());
    out->set_slots(member.slots.value());
    out->set_callers_address(member.callersAddress);
    out->set_operator_address(member.operatorAddress);
    if (member.departure) {
        out->mutable_departure()->set_upstream(member.departure->upstream);
        out->mutable_departure()->set_start(member.departure->start.value());
    }
}

std::optional<UpstreamDeparture> decodeDeparture(const wire::Member &in)
{
    if (!in.has_departure())
        return std::nullopt;
    return UpstreamDeparture{in.departure().upstream(), UpstreamStart{in.departure().start()}};
}

/// Returns nothing for an unknown state or an empty instance id.
std::optional<Member> decodeMember(const wire::Member &in)
{
    if (in.state() > static_cast<std::uint32_t>(MemberState::Left) || in.peer().instance().empty())
        return std::nullopt;
    return Member{decodePeer(in.peer()),
                  in.version(),
                  static_cast<MemberState>(in.state()),
                  in.suspected(),
                  ServiceName{in.service()},
                  ZoneName{in.zone()},
                  RegionName{in.region()},
                  Slots{in.slots()},
                  in.callers_address(),
                  in.operator_address(),
                  decodeDeparture(in)};
}

void encodeKind(const Gossip &gossip, wire::Frame *frame)
{
    wire::Gossip *out = frame->mutable_gossip();
    for (const Member &member : gossip.members)
        encodeMember(member, out->add_members());
    for (const std::uint64_t hash : gossip.bucketHashes)
        out->add_bucket_hashes(hash);
    out->set_wants_hashes(gossip.wantsHashes);
    out->set_revision(gossip.version.revision.value());
    out->set_era(gossip.version.era.value());
    out->set_wants_configuration(gossip.wantsConfiguration);
    out->set_configuration(gossip.configuration);
    for (const PoisonEvent &event : gossip.poisonEvents) {
        wire::Strike *encoded = out->add_strikes();
        encoded->set_content(event.content.value());
        encoded->set_event(event.eventId);
        encoded->set_is_release(event.isRelease);
    }
}

/// Leaves out members that can't be decoded.
std::optional<Frame> decodeGossip(const wire::Gossip &in)
{
    Gossip gossip;
    for (const wire::Member &member : in.members()) {
        if (auto decoded = decodeMember(member))
            gossip.members.push_back(std::move(*decoded));
    }
    gossip.bucketHashes.assign(in.bucket_hashes().begin(), in.bucket_hashes().end());
    gossip.wantsHashes = in.wants_hashes();
    gossip.version = {Revision{in.revision()}, StoreEra{in.era()}};
    gossip.wantsConfiguration = in.wants_configuration();
    gossip.configuration = in.configuration();
    for (const wire::Strike &encoded : in.strikes())
        gossip.poisonEvents.push_back(
                {ContentHash{encoded.content()}, encoded.event(), encoded.is_release()});
    return gossip;
}

void encodeKind(const Ping &, wire::Frame *out)
{
    out->mutable_ping();
}

void encodeKind(const Pong &, wire::Frame *out)
{
    out->mutable_pong();
}

} // namespace

void encode(const Frame &frame, wire::Frame *out)
{
    std::visit([out](const auto &kind) { encodeKind(kind, out); }, frame);
}

std::optional<Frame> decode(wire::Frame *frame)
{
    switch (frame->kind_case()) {
    case wire::Frame::kHello:
        return Hello{decodePeer(frame->hello().peer())};
    case wire::Frame::kRun:
        return decodeRun(frame->mutable_run(), std::move(*frame->mutable_run()->mutable_body()));
    case wire::Frame::kAnswer:
        return decodeAnswer(frame->mutable_answer());
    case wire::Frame::kCancel:
        return Cancel{RequestId{frame->cancel().request()},
                      AttemptNumber{frame->cancel().attempt()}};
    case wire::Frame::kGossip:
        return decodeGossip(frame->gossip());
    case wire::Frame::kPing:
        return Ping{};
    case wire::Frame::kPong:
        return Pong{};
    case wire::Frame::KIND_NOT_SET:
        break;
    }
    return std::nullopt;
}

std::string encodeBatchUpToBody(const RunRequest &run)
{
    wire::Run head;
    encodeAllButBody(run, &head);
    const std::size_t bodySize = run.work.body.size();
    const std::size_t runSize
            = head.ByteSizeLong() + lengthFieldSize(wire::Run::kBodyFieldNumber, bodySize);
    const std::size_t frameSize = lengthFieldSize(wire::Frame::kRunFieldNumber, runSize);
    std::string bytes;
    {
        google::protobuf::io::StringOutputStream stream(&bytes);
        google::protobuf::io::CodedOutputStream out(&stream);
        writeLengthField(wire::Batch::kFramesFieldNumber, frameSize, &out);
        writeLengthField(wire::Frame::kRunFieldNumber, runSize, &out);
        head.SerializeToCodedStream(&out);
        writeLengthField(wire::Run::kBodyFieldNumber, bodySize, &out);
    }
    return bytes;
}

std::optional<Frame> decodeRunWithBodyAtEnd(const std::shared_ptr<const std::string> &buffer,
                                            std::size_t offset)
{
    const std::string_view batch = std::string_view(*buffer).substr(offset);
    const std::optional<BodyPlace> place = findBodyAtEnd(batch, batch.size());
    wire::Run head;
    if (!place || !parseHead(batch, *place, &head))
        return std::nullopt;
    return decodeRun(&head, SharedBytes(buffer, offset + place->start));
}

std::optional<RunRequest> decodeRunHead(std::string_view bytes, std::size_t batchSize)
{
    const std::optional<BodyPlace> place = findBodyAtEnd(bytes, batchSize);
    wire::Run head;
    if (!place || !parseHead(bytes, *place, &head))
        return std::nullopt;
    return decodeAllButBody(&head);
}

std::string encodeBatch(const std::vector<Frame> &frames)
{
    wire::Batch batch;
    for (const Frame &frame : frames)
        encode(frame, batch.add_frames());
    return batch.SerializeAsString();
}

Result<std::vector<Frame>> decodeBatch(std::string_view bytes)
{
    wire::Batch batch;
    if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Error::Internal;
    std::vector<Frame> frames;
    for (wire::Frame &frame : *batch.mutable_frames()) {
        if (auto decoded = decode(&frame))
            frames.push_back(std::move(*decoded));
    }
    return frames;
}

} // namespace buckthornford
