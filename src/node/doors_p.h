#pragma once

#include "http/http.h"
#include "node/membership_task_p.h"
#include "node/node_task_p.h"
#include "node/platform_task_p.h"

#include <atomic>

namespace buckthornford {

/// The tasks that the doors post to.
struct DoorTasks
{
    NodeTask *node = nullptr;
    MembershipTask *membership = nullptr;
    PlatformTask *platform = nullptr;
};

/// Serves callers and the node's own upstream: parses requests, waits for answers.
class CallDoor
{
public:
    enum class Kind { Callers, Upstream };

    CallDoor(DoorTasks tasks, Kind kind, Duration keyLife)
        : m_tasks(tasks)
        , m_kind(kind)
        , m_keyLife(keyLife)
    {}

    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse call(const HttpRequest &request);
    HttpResponse keys(const HttpRequest &request);
    HttpResponse announce(const HttpRequest &request);
    HttpResponse waitFor(RequestId id, const HttpRequest &request,
                         const std::shared_ptr<ReplySlot<CallResult>> &reply);

    DoorTasks m_tasks;
    Kind m_kind;
    Duration m_keyLife;
};

/// Serves operators: status, members, metrics, spans, configuration, drain.
class OperatorDoor
{
public:
    explicit OperatorDoor(DoorTasks tasks)
        : m_tasks(tasks)
    {}

    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse ask(Question::About about, const std::string &contentType);
    HttpResponse members();
    HttpResponse change(const HttpRequest &request);
    HttpResponse drain(bool on);
    HttpResponse releasePoison(const HttpRequest &request);

    DoorTasks m_tasks;
};

} // namespace buckthornford
