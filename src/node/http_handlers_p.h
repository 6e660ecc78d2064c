#pragma once

#include "http_blocking/http_blocking.h"
#include "node/configuration_task_p.h"
#include "node/membership_task_p.h"
#include "node/node_task_p.h"

#include <atomic>

namespace buckthornford {

/// The tasks that the doors post to.
struct HandlerTasks
{
    NodeTask *node = nullptr;
    MembershipTask *membership = nullptr;
    ConfigurationTask *platform = nullptr;
};

/// Serves callers and the node's own upstream: parses requests, waits for answers.
class CallHandler
{
public:
    enum class Kind { Callers, Upstream };

    CallHandler(HandlerTasks tasks, Kind kind, Duration keyLife)
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

    HandlerTasks m_tasks;
    Kind m_kind;
    Duration m_keyLife;
};

/// Serves operators: status, members, metrics, spans, configuration, drain.
class OperatorHandler
{
public:
    explicit OperatorHandler(HandlerTasks tasks)
        : m_tasks(tasks)
    {}

    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse query(OperatorQuery::Topic about, const std::string &contentType);
    HttpResponse members();
    HttpResponse change(const HttpRequest &request);
    HttpResponse drain(bool on);
    HttpResponse releasePoison(const HttpRequest &request);

    HandlerTasks m_tasks;
};

} // namespace buckthornford
