#include "load/worker.h"

#include "call/call.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace buckthornford {

namespace {

/// How long to wait for an answer beyond the request's timeout.
constexpr Duration answerSlack = std::chrono::milliseconds(300);
constexpr Duration keyFetchTimeout = std::chrono::seconds(1);
constexpr std::size_t keysPerFetch = 8;
constexpr int statusOk = 200;

Outcome outcomeFromHeader(const HttpResponse &response)
{
    const std::string *text = findHeader(response.headers, outcomeHeader);
    // An upstream that is called directly sends no outcome.
    if (text == nullptr && response.status == statusOk)
        return Outcome::Completed;
    if (text == nullptr) // The HTTP server of the node refused the request.
        return response.status >= 400 && response.status < 500 ? Outcome::NotRun : Outcome::Unknown;
    for (const Outcome outcome : {Outcome::Completed, Outcome::Failed, Outcome::NotRun}) {
        if (*text == outcomeName(outcome))
            return outcome;
    }
    return Outcome::Unknown;
}

/// Checks that a completed answer is complete and belongs to the request.
AnswerFault verifyAnswer(const HttpResponse &response, const std::string &nonce, std::size_t size)
{
    const std::string *expected = findHeader(response.headers, checksumHeader);
    if (expected != nullptr && *expected != toHex(checksum(response.body)))
        return AnswerFault::Corrupted;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object() || body.value("padding", "").size() != size)
        return AnswerFault::Corrupted;
    return body.value("nonce", "") == nonce ? AnswerFault::None : AnswerFault::Mismatched;
}

} // namespace

LoadWorker::LoadWorker(std::vector<Endpoint> entries, std::size_t firstEntry, std::string runName,
                       Mailbox<RequestEnded> *endedRequests)
    : m_entries(std::move(entries))
    , m_firstEntry(firstEntry % m_entries.size())
    , m_runName(std::move(runName))
    , m_endedRequests(endedRequests)
{}

TimePoint LoadWorker::tick(TimePoint now)
{
    return now + std::chrono::seconds(1);
}

Result<HttpResponse> LoadWorker::exchange(std::size_t entry, const HttpRequest &request,
                                          Duration timeout)
{
    if (entry != m_connectedEntry)
        m_connection.reset();
    if (!m_connection) {
        Result<HttpConnection> connection = HttpConnection::connect(m_entries[entry]);
        if (!connection)
            return connection.error();
        m_connection.emplace(std::move(connection.value()));
        m_connectedEntry = entry;
    }
    Result<HttpResponse> response = m_connection->exchange(request, timeout);
    if (!response || m_connection->mustClose())
        m_connection.reset();
    return response;
}

std::string LoadWorker::takeKey(const std::string &service, std::size_t entry)
{
    KeyCache &cache = m_keys[service];
    const TimePoint now = monotonicNow();
    if (now >= cache.expiry)
        cache.keys.clear();
    if (cache.keys.empty()) {
        HttpRequest request;
        request.method = "GET";
        request.path = "/keys/" + service;
        request.query = "count=" + std::to_string(keysPerFetch);
        const Result<HttpResponse> response = exchange(entry, request, keyFetchTimeout);
        if (!response || response.value().status != statusOk)
            return {};
        const auto body = nlohmann::json::parse(response.value().body, nullptr, false);
        for (const auto &key : body.at("keys"))
            cache.keys.push_back(key);
        // Keys are used in the first half of their life; the rest is for the request's re-sends.
        cache.expiry = now + std::chrono::milliseconds(body.at("lifeMs").get<std::int64_t>()) / 2;
    }
    std::string key = std::move(cache.keys.front());
    cache.keys.pop_front();
    return key;
}

HttpRequest LoadWorker::buildRequest(const RequestJob &job, const std::string &nonce,
                                     const std::string &key) const
{
    const RequestKind &kind = job.kind;
    HttpRequest request;
    request.method = kind.method;
    request.path = (kind.isDirect ? "/" : "/call/" + kind.service + "/") + kind.operation;
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(kind.timeout);
    request.headers = {{classHeader, kind.className},
                       {callerHeader, kind.caller},
                       {timeoutHeader, std::to_string(timeout.count())}};
    if (!key.empty())
        request.headers.emplace_back(keyHeader, key);
    if (kind.isIdempotent()) {
        request.query = "nonce=" + nonce + "&size=" + std::to_string(kind.answerBytes);
        if (kind.crashes)
            request.query += "&crash=1";
    } else {
        nlohmann::json body{{"nonce", nonce}, {"size", kind.answerBytes}};
        if (kind.crashes)
            body["crash"] = true;
        request.headers.emplace_back("Content-Type", "application/json");
        request.body = body.dump();
    }
    return request;
}

SendResult LoadWorker::send(const RequestJob &job, const std::string &nonce, const std::string &key,
                            std::uint32_t sendNumber, RequestResult *result)
{
    SendResult sent;
    sent.nonce = nonce;
    const std::size_t entry = (m_firstEntry + sendNumber) % m_entries.size();
    const Result<HttpResponse> response
            = exchange(entry, buildRequest(job, nonce, key), job.kind.timeout + answerSlack);
    if (!response) {
        const Error error = errorOf(response.error());
        sent.reason = errorRow(error).name;
        if (error == Error::ConnectFailed)
            sent.outcome = Outcome::NotRun;
        return sent;
    }
    sent.outcome = outcomeFromHeader(response.value());
    if (const std::string *reason = findHeader(response.value().headers, reasonHeader))
        sent.reason = *reason;
    if (const std::string *text = findHeader(response.value().headers, attemptsHeader)) {
        std::uint32_t attempts = 0;
        std::from_chars(text->data(), text->data() + text->size(), attempts);
        result->attempts += attempts;
    }
    if (sent.outcome == Outcome::Completed && response.value().status == statusOk)
        result->fault = verifyAnswer(response.value(), nonce, job.kind.answerBytes);
    else if (sent.outcome == Outcome::Completed)
        sent.outcome = Outcome::Failed;
    return sent;
}

void LoadWorker::handle(RequestJob &&job, TimePoint)
{
    RequestResult result;
    result.request = job.request;
    const std::string base = m_runName + "-" + std::to_string(job.request.number);
    std::string nonce = base;

    const bool usesKey = job.kind.usesKey && !job.kind.isIdempotent();
    std::string key = usesKey ? takeKey(job.kind.service, m_firstEntry) : "";
    for (std::uint32_t number = 0; number <= job.kind.resends; ++number) {
        const SendResult sent = send(job, nonce, key, number, &result);
        result.outcome = sent.outcome;
        result.sends.push_back(sent);
        if (sent.outcome == Outcome::Completed)
            break;
        // A non-idempotent request that may have run is re-sent only under the same key.
        const bool mayResend
                = job.kind.isIdempotent() || sent.outcome == Outcome::NotRun || !key.empty();
        if (!mayResend)
            break;
        if (!job.kind.isIdempotent() && sent.outcome == Outcome::NotRun) {
            // A refused key stays refused, so the re-send needs a new one. With a new nonce the
            // ledgers tell the sends apart.
            nonce = base + "." + std::to_string(number + 1);
            key = usesKey ? takeKey(job.kind.service, m_firstEntry) : "";
        }
    }
    const TimePoint end = monotonicNow();
    result.latency = end - (job.runStart + job.request.due);
    result.finished = end - job.runStart;
    m_endedRequests->post({this, std::move(result)});
}

} // namespace buckthornford
