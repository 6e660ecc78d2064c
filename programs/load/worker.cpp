#include "load/worker.h"

#include "call/call.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace buckthornford {

namespace {

constexpr Duration answerSlack = std::chrono::milliseconds(300);
constexpr Duration keyFetchTimeout = std::chrono::seconds(1);
constexpr std::size_t keysAtOnce = 8;
constexpr int statusOk = 200;

Outcome outcomeFromHeader(const HttpResponse &response)
{
    const std::string *text = findHeader(response.headers, outcomeHeader);
    if (text == nullptr && response.status == statusOk) // An upstream, called directly.
        return Outcome::Completed;
    if (text == nullptr) // A door refused the request itself.
        return response.status >= 400 && response.status < 500 ? Outcome::NotRun : Outcome::Unknown;
    for (const Outcome outcome : {Outcome::Completed, Outcome::Failed, Outcome::NotRun}) {
        if (*text == outcomeName(outcome))
            return outcome;
    }
    return Outcome::Unknown;
}

/// Judges whether a completed answer is whole and belongs to the request.
AnswerFault judge(const HttpResponse &response, const std::string &nonce, std::size_t size)
{
    const std::string *sum = findHeader(response.headers, checksumHeader);
    if (sum != nullptr && *sum != toHex(checksum(response.body)))
        return AnswerFault::Corrupted;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object() || body.value("padding", "").size() != size)
        return AnswerFault::Corrupted;
    return body.value("nonce", "") == nonce ? AnswerFault::None : AnswerFault::Mismatched;
}

} // namespace

LoadWorker::LoadWorker(std::vector<Endpoint> entries, std::size_t home, std::string runName,
                       Mailbox<RequestEnded> *reports)
    : m_entries(std::move(entries))
    , m_firstEntry(home % m_entries.size())
    , m_runName(std::move(runName))
    , m_reports(reports)
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
    KeyCache &stock = m_keys[service];
    const TimePoint now = monotonicNow();
    if (now >= stock.expiry)
        stock.keys.clear();
    if (stock.keys.empty()) {
        HttpRequest request;
        request.method = "GET";
        request.path = "/keys/" + service;
        request.query = "count=" + std::to_string(keysAtOnce);
        const Result<HttpResponse> response = exchange(entry, request, keyFetchTimeout);
        if (!response || response.value().status != statusOk)
            return {};
        const auto body = nlohmann::json::parse(response.value().body, nullptr, false);
        for (const auto &key : body.at("keys"))
            stock.keys.push_back(key);
        // Half of the life is left for the request and its re-sends.
        stock.expiry = now + std::chrono::milliseconds(body.at("lifeMs").get<std::int64_t>()) / 2;
    }
    std::string key = std::move(stock.keys.front());
    stock.keys.pop_front();
    return key;
}

HttpRequest LoadWorker::buildRequest(const RequestJob &order, const std::string &nonce,
                                     const std::string &key) const
{
    const RequestKind &kind = order.kind;
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

SendRecord LoadWorker::send(const RequestJob &order, const std::string &nonce,
                            const std::string &key, std::uint32_t sendNumber, RequestResult *result)
{
    SendRecord record;
    record.nonce = nonce;
    const std::size_t entry = (m_firstEntry + sendNumber) % m_entries.size();
    const Result<HttpResponse> response
            = exchange(entry, buildRequest(order, nonce, key), order.kind.timeout + answerSlack);
    if (!response) {
        const Error error = errorOf(response.error());
        record.reason = errorRow(error).name;
        if (error == Error::ConnectFailed)
            record.outcome = Outcome::NotRun;
        return record;
    }
    record.outcome = outcomeFromHeader(response.value());
    if (const std::string *reason = findHeader(response.value().headers, reasonHeader))
        record.reason = *reason;
    if (const std::string *text = findHeader(response.value().headers, attemptsHeader)) {
        std::uint32_t attempts = 0;
        std::from_chars(text->data(), text->data() + text->size(), attempts);
        result->attempts += attempts;
    }
    if (record.outcome == Outcome::Completed && response.value().status == statusOk)
        result->fault = judge(response.value(), nonce, order.kind.answerBytes);
    else if (record.outcome == Outcome::Completed)
        record.outcome = Outcome::Failed;
    return record;
}

void LoadWorker::handle(RequestJob &&order, TimePoint)
{
    RequestResult result;
    result.request = order.request;
    const std::string base = m_runName + "-" + std::to_string(order.request.number);
    std::string nonce = base;

    const bool usesKey = order.kind.usesKey && !order.kind.isIdempotent();
    std::string key = usesKey ? takeKey(order.kind.service, m_firstEntry) : "";
    for (std::uint32_t number = 0; number <= order.kind.resends; ++number) {
        const SendRecord record = send(order, nonce, key, number, &result);
        result.outcome = record.outcome;
        result.sends.push_back(record);
        if (record.outcome == Outcome::Completed)
            break;
        // What may have run must not be sent without its key.
        const bool mayResend
                = order.kind.isIdempotent() || record.outcome == Outcome::NotRun || !key.empty();
        if (!mayResend)
            break;
        if (!order.kind.isIdempotent() && record.outcome == Outcome::NotRun) {
            // A refused key stays refused, and the ledger must tell the sends apart.
            nonce = base + "." + std::to_string(number + 1);
            key = usesKey ? takeKey(order.kind.service, m_firstEntry) : "";
        }
    }
    const TimePoint end = monotonicNow();
    result.latency = end - (order.runStart + order.request.due);
    result.finished = end - order.runStart;
    m_reports->post({this, std::move(result)});
}

} // namespace buckthornford
