#pragma once

#include "http_blocking/http_blocking.h"
#include "node/configuration_task_p.h"
#include "node/membership_task_p.h"
#include "node/node_task_p.h"

#include <atomic>

namespace buckthornford {

/// The tasks to which the HTTP handlers post.
struct HandlerTasks
{
    NodeTask *node = nullptr;
    MembershipTask *membership = nullptr;
    ConfigurationTask *configuration = nullptr;
};

/// Handles HTTP requests from callers or from this node's own upstream: parses a request, posts it
/// to the node task and waits for the result.
class CallHandler
{
public:
    enum class Client { Callers, Upstream };

    CallHandler(HandlerTasks tasks, Client client, Duration keyLife)
        : m_tasks(tasks)
        , m_client(client)
        , m_keyLife(keyLife)
    {}

    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse handleCall(const HttpRequest &request);
    HttpResponse makeKeys(const HttpRequest &request);
    HttpResponse handleAnnouncement(const HttpRequest &request);
    HttpResponse waitForResult(RequestId id, const HttpRequest &request,
                               const std::shared_ptr<ReplySlot<CallResult>> &reply);

    HandlerTasks m_tasks;
    Client m_client;
    Duration m_keyLife;
};

/// Handles operators' HTTP requests: status, members, metrics, spans, configuration, poisonous
/// contents and drain.
class OperatorHandler
{
public:
    explicit OperatorHandler(HandlerTasks tasks)
        : m_tasks(tasks)
    {}

    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse query(OperatorQuery::Topic topic, const std::string &contentType);
    HttpResponse listMembers();
    HttpResponse changeConfiguration(const HttpRequest &request);
    HttpResponse setDraining(bool enable);
    HttpResponse releasePoison(const HttpRequest &request);

    HandlerTasks m_tasks;
};

} // namespace buckthornford
