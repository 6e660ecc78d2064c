#pragma once

#include "http_blocking/http_blocking.h"
#include "upstream_stand_in/executor.h"

#include <atomic>
#include <string>

namespace buckthornford {

/// What the stand-in is and whom it calls.
struct ServiceSettings
{
    std::string service;
    std::string instance;
    Endpoint node;             ///< the upstream's door of its own node
    std::string next;          ///< service called by each execution; empty for none
    std::uint32_t fanOut = 1;  ///< calls to the next service
    double longFactor = 50.0;  ///< cost of operations whose name starts with "long"
    bool mayCrash = false;     ///< a request with "crash" in its body ends the process
    bool dropsContext = false; ///< calls further down don't say for whom they are made
};

/// Answers requests: waits for the workshop, then calls the next service.
class Service
{
public:
    Service(ServiceSettings settings, Executor *workshop);

    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse execute(const HttpRequest &request);
    HttpResponse callNext(const HttpRequest &request) const;
    HttpResponse ledger();
    HttpResponse counters();
    HttpResponse changeBehaviour(const HttpRequest &request);

    ServiceSettings m_settings;
    Executor *m_executor;
    std::atomic<bool> m_dropsContext;
};

} // namespace buckthornford
