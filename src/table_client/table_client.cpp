#include "table_client/table_client.h"

#include <nlohmann/json.hpp>

namespace buckthornford {

namespace {

constexpr Duration requestTimeout = std::chrono::seconds(1);
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;

Error errorForStatus(int status)
{
    switch (status) {
    case statusConflict:
        return Error::Conflict;
    case statusTooManyRequests:
        return Error::PlatformBusy;
    default:
        return Error::PlatformUnavailable;
    }
}

} // namespace

Result<HttpResponse> TableClient::exchange(const HttpRequest &request)
{
    if (!m_connection) {
        Result<HttpConnection> connection = HttpConnection::connect(m_endpoint);
        if (!connection)
            return Error::PlatformUnavailable;
        m_connection.emplace(std::move(connection.value()));
    }
    Result<HttpResponse> response = m_connection->exchange(request, requestTimeout);
    if (!response || m_connection->mustClose())
        m_connection.reset();
    return response;
}

Result<TableRow> TableClient::read(const std::string &key)
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/table/" + key;
    const Result<HttpResponse> response = exchange(request);
    if (!response)
        return response.error();
    if (response.value().status == statusNotFound)
        return TableRow{};
    if (response.value().status != statusOk)
        return errorForStatus(response.value().status);
    const auto row = nlohmann::json::parse(response.value().body, nullptr, false);
    if (!row.is_object() || !row.contains("value") || !row["value"].is_string()
        || !row.contains("version") || !row["version"].is_number_unsigned())
        return Error::PlatformUnavailable;
    return TableRow{row["value"].get<std::string>(), row["version"].get<std::uint64_t>()};
}

Result<void> TableClient::commit(const TableTransaction &transaction)
{
    nlohmann::json conditions = nlohmann::json::array();
    for (const TableCondition &condition : transaction.conditions)
        conditions.push_back({{"key", condition.key}, {"version", condition.version}});
    nlohmann::json writes = nlohmann::json::array();
    for (const TableWrite &write : transaction.writes)
        writes.push_back({{"key", write.key}, {"value", write.value}});
    HttpRequest request;
    request.method = "POST";
    request.path = "/transactions";
    request.body = nlohmann::json{{"conditions", conditions}, {"writes", writes}}.dump();
    const Result<HttpResponse> response = exchange(request);
    if (!response)
        return response.error();
    if (response.value().status != statusOk)
        return errorForStatus(response.value().status);
    return success();
}

} // namespace buckthornford
