#include "platform_stand_in/table_task.h"
#include "telemetry/telemetry.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <array>
#include <thread>

DEFINE_string(listen, "127.0.0.1:7000", "address on which the stand-in listens");
DEFINE_string(reads, "2000", "reads allowed per second; those above are refused with status 429");
DEFINE_string(writes, "400",
              "transactions allowed per second (writes); those above are refused with status 429");
DEFINE_string(seed, "1", "seed for choosing the transactions whose response is lost");

using namespace buckthornford;

namespace {

constexpr std::array rules{
        SettingRule{"listen", isEndpoint, "IP:PORT"},
        SettingRule{"reads", isWholeNumberIn<1, 1000000>, "1 to 1000000"},
        SettingRule{"writes", isWholeNumberIn<1, 1000000>, "1 to 1000000"},
        SettingRule{"seed", isWholeNumberIn<0, INT64_MAX>, "a whole number from 0"},
};
constexpr Duration taskTimeout = std::chrono::seconds(5);
constexpr std::string_view tablePrefix = "/table/";
constexpr std::string_view objectPrefix = "/objects/";
constexpr int serverThreads = 64;

/// Reads a row; responds with its value and version, or 404 if it doesn't exist.
HttpResponse readRow(TableTask *table, const std::string &key)
{
    auto reply = std::make_shared<ReplySlot<Result<TableRow>>>();
    table->post(ReadRequest{key, reply});
    const auto row = reply->takeWithin(taskTimeout);
    if (!row)
        return errorResponse(Error::Timeout, "");
    if (!*row) {
        HttpResponse errorReply = errorResponse(errorOf(row->error()), "");
        if (errorOf(row->error()) == Error::PlatformBusy)
            errorReply.status = 429;
        return errorReply;
    }
    if (row->value().version == 0)
        return errorResponse(Error::NotFound, "key");
    HttpResponse response;
    response.body = nlohmann::json{{"value", row->value().value}, {"version", row->value().version}}
                            .dump();
    return response;
}

/// Parses a transaction from JSON. Returns false if a part is missing or of the wrong type.
bool parseTransaction(const std::string &body, TableTransaction *transaction)
{
    const auto root = nlohmann::json::parse(body, nullptr, false);
    if (!root.is_object() || !root.contains("conditions") || !root.contains("writes"))
        return false;
    for (const auto &condition : root["conditions"]) {
        if (!condition.is_object() || !condition.contains("key") || !condition["key"].is_string()
            || !condition.contains("version") || !condition["version"].is_number_unsigned())
            return false;
        transaction->conditions.push_back({condition["key"], condition["version"]});
    }
    for (const auto &write : root["writes"]) {
        if (!write.is_object() || !write.contains("key") || !write["key"].is_string()
            || !write.contains("value") || !write["value"].is_string())
            return false;
        transaction->writes.push_back({write["key"], write["value"]});
    }
    return true;
}

/// Commits a transaction; the response is marked to be lost if the faults say so.
HttpResponse commit(TableTask *table, TableTransaction transaction)
{
    auto reply = std::make_shared<ReplySlot<CommitResult>>();
    table->post(CommitRequest{std::move(transaction), reply});
    const auto result = reply->takeWithin(taskTimeout);
    HttpResponse response;
    response.body = "{}";
    if (!result)
        return errorResponse(Error::Timeout, "");
    if (result->error != Error::None)
        response = errorResponse(result->error, "");
    if (result->error == Error::PlatformBusy)
        response.status = 429;
    response.closeWithoutResponse = result->isResponseLost;
    return response;
}

/// Serves the object store. An object is stored as one row of the table; a PUT replaces it.
HttpResponse serveObject(TableTask *table, const HttpRequest &request)
{
    const std::string key = "object/" + request.path.substr(objectPrefix.size());
    if (request.method == "PUT")
        return commit(table, {{}, {{key, request.body}}});
    if (request.method != "GET")
        return errorResponse(Error::MethodNotAllowed, "method");
    HttpResponse response = readRow(table, key);
    if (response.status == 200) {
        response.body = nlohmann::json::parse(response.body)["value"];
        response.contentType = "application/octet-stream";
    }
    return response;
}

/// Replaces all faults; one that the body doesn't name is off.
HttpResponse setFaults(TableTask *table, const std::string &body)
{
    const auto root = nlohmann::json::parse(body, nullptr, false);
    if (!root.is_object())
        return errorResponse(Error::MalformedJson, "body");
    PlatformFaults faults;
    faults.isDown = root.value("down", false);
    faults.delay = std::chrono::milliseconds(root.value("delayMs", 0));
    faults.lostResponseShare = root.value("loseAnswers", 0.0);
    table->post(FaultsChanged{faults});
    HttpResponse response;
    response.body = "{}";
    return response;
}

PlatformCounters countersOf(TableTask *table)
{
    auto reply = std::make_shared<ReplySlot<PlatformCounters>>();
    table->post(CountersRequest{reply});
    return reply->takeWithin(taskTimeout).value_or(PlatformCounters{});
}

HttpResponse showCounters(TableTask *table)
{
    const PlatformCounters counters = countersOf(table);
    HttpResponse response;
    response.body = nlohmann::json{{"reads", counters.reads},
                                   {"writes", counters.writes},
                                   {"refused", counters.refused}}
                            .dump();
    return response;
}

/// Serves one request. The delay of the faults holds for all but the /admin paths.
HttpResponse serve(TableTask *table, const HttpRequest &request)
{
    if (request.path == "/admin/faults" && request.method == "POST")
        return setFaults(table, request.body);
    if (request.path == "/admin/counters")
        return showCounters(table);
    const Duration delay = countersOf(table).faults.delay;
    if (delay > Duration{0})
        std::this_thread::sleep_for(delay);
    if (request.path.starts_with(tablePrefix) && request.method == "GET")
        return readRow(table, request.path.substr(tablePrefix.size()));
    if (request.path.starts_with(objectPrefix))
        return serveObject(table, request);
    if (request.path != "/transactions" || request.method != "POST")
        return errorResponse(Error::NotFound, "path");
    TableTransaction transaction;
    if (!parseTransaction(request.body, &transaction))
        return errorResponse(Error::MalformedJson, "body");
    return commit(table, std::move(transaction));
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo program{
            "buckthornford-platform",
            "a stand-in for the platform's transactional table service and object store", ""};
    if (const auto status = readSettings(&argc, &argv, program, rules))
        return *status;
    blockStopSignals();
    startLog(program.name);
    TableTask::Settings settings;
    settings.readsPerSecond = std::stod(FLAGS_reads);
    settings.writesPerSecond = std::stod(FLAGS_writes);
    settings.seed = std::stoull(FLAGS_seed);
    TableTask table(settings);
    table.start();
    HttpServerSettings http;
    http.endpoint = parseEndpoint(FLAGS_listen).value();
    http.threads = serverThreads;
    const auto server = HttpServer::listen(
            http, [&table](const HttpRequest &request) { return serve(&table, request); });
    if (!server) {
        logEvent(LogLevel::Error, "bind-failed", {{"endpoint", FLAGS_listen}});
        return 1;
    }
    logEvent(LogLevel::Info, "started", {{"listen", FLAGS_listen}});
    waitForStopSignal();
    logEvent(LogLevel::Info, "stopped");
    return 0;
}
