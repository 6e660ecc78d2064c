#pragma once

#include "http_blocking/http_blocking.h"
#include "upstream_stand_in/executor.h"

#include <atomic>
#include <string>

namespace buckthornford {

/// Names of the stand-in, the calls that it makes, and its costs and faults.
struct ServiceSettings
{
    std::string service;
    std::string instance;
    Endpoint node;             ///< upstream listener of its own node
    std::string next;          ///< service that each execution calls; empty for none
    std::uint32_t fanOut = 1;  ///< calls of each execution to the next service
    double longFactor = 50.0;  ///< cost of operations named "long..."; others cost 1
    bool mayCrash = false;     ///< a request with a true "crash" ends the process
    bool dropsContext = false; ///< calls to the next service carry no call context
};

/// HTTP handler of the stand-in: has the executor run each request, then calls the next service.
/// Its own paths show the ledger and the counters, and change the behaviour.
class Service
{
public:
    Service(ServiceSettings settings, Executor *executor);

    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse execute(const HttpRequest &request);
    /// Calls the next service through this upstream's own node, for the same execution.
    HttpResponse callNext(const HttpRequest &request) const;
    HttpResponse showLedger();
    HttpResponse showCounters();
    HttpResponse changeBehaviour(const HttpRequest &request);

    ServiceSettings m_settings;
    Executor *m_executor;
    std::atomic<bool> m_dropsContext;
};

} // namespace buckthornford
