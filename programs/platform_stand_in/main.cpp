#include "platform_stand_in/table_task.h"
#include "telemetry/telemetry.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <array>
#include <thread>

DEFINE_string(listen, "127.0.0.1:7000", "address of the service");
DEFINE_string(reads, "2000", "reads allowed in a second");
DEFINE_string(writes, "400", "writes allowed in a second");
DEFINE_string(seed, "1", "seed of random faults");

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
constexpr int serviceThreads = 64;

HttpResponse readRow(TableTask *store, const std::string &key)
{
    auto reply = std::make_shared<ReplySlot<Result<TableRow>>>();
    store->post(RowRequest{key, reply});
    const auto row = reply->takeWithin(taskTimeout);
    if (!row)
        return errorResponse(Error::Timeout, "");
    if (!*row) {
        HttpResponse refused = errorResponse(errorOf(row->error()), "");
        if (errorOf(row->error()) == Error::PlatformBusy)
            refused.status = 429;
        return refused;
    }
    if (row->value().version == 0)
        return errorResponse(Error::NotFound, "key");
    HttpResponse response;
    response.body = nlohmann::json{{"value", row->value().value}, {"version", row->value().version}}
                            .dump();
    return response;
}

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

HttpResponse commit(TableTask *store, TableTransaction transaction)
{
    auto reply = std::make_shared<ReplySlot<CommitAnswer>>();
    store->post(CommitRequest{std::move(transaction), reply});
    const auto answer = reply->takeWithin(taskTimeout);
    HttpResponse response;
    response.body = "{}";
    if (!answer)
        return errorResponse(Error::Timeout, "");
    if (answer->error != Error::None)
        response = errorResponse(answer->error, "");
    if (answer->error == Error::PlatformBusy)
        response.status = 429;
    response.closeWithoutResponse = answer->isLost;
    return response;
}

/// An object is a row of its own; a put replaces it.
HttpResponse object(TableTask *store, const HttpRequest &request)
{
    const std::string key = "object/" + request.path.substr(objectPrefix.size());
    if (request.method == "PUT")
        return commit(store, {{}, {{key, request.body}}});
    if (request.method != "GET")
        return errorResponse(Error::MethodNotAllowed, "method");
    HttpResponse response = readRow(store, key);
    if (response.status == 200) {
        response.body = nlohmann::json::parse(response.body)["value"];
        response.contentType = "application/octet-stream";
    }
    return response;
}

HttpResponse setFaults(TableTask *store, const std::string &body)
{
    const auto root = nlohmann::json::parse(body, nullptr, false);
    if (!root.is_object())
        return errorResponse(Error::MalformedJson, "body");
    PlatformFaults faults;
    faults.isDown = root.value("down", false);
    faults.delay = std::chrono::milliseconds(root.value("delayMs", 0));
    faults.loseAnswers = root.value("loseAnswers", 0.0);
    store->post(FaultsChanged{faults});
    HttpResponse response;
    response.body = "{}";
    return response;
}

PlatformCounters countersOf(TableTask *store)
{
    auto reply = std::make_shared<ReplySlot<PlatformCounters>>();
    store->post(CountersRequest{reply});
    return reply->takeWithin(taskTimeout).value_or(PlatformCounters{});
}

HttpResponse showCounters(TableTask *store)
{
    const PlatformCounters counters = countersOf(store);
    HttpResponse response;
    response.body = nlohmann::json{{"reads", counters.reads},
                                   {"writes", counters.writes},
                                   {"refused", counters.refused}}
                            .dump();
    return response;
}

HttpResponse serve(TableTask *store, const HttpRequest &request)
{
    if (request.path == "/admin/faults" && request.method == "POST")
        return setFaults(store, request.body);
    if (request.path == "/admin/counters")
        return showCounters(store);
    const Duration delay = countersOf(store).faults.delay;
    if (delay > Duration{0})
        std::this_thread::sleep_for(delay);
    if (request.path.starts_with(tablePrefix) && request.method == "GET")
        return readRow(store, request.path.substr(tablePrefix.size()));
    if (request.path.starts_with(objectPrefix))
        return object(store, request);
    if (request.path != "/transactions" || request.method != "POST")
        return errorResponse(Error::NotFound, "path");
    TableTransaction transaction;
    if (!parseTransaction(request.body, &transaction))
        return errorResponse(Error::MalformedJson, "body");
    return commit(store, std::move(transaction));
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
    TableTask store(settings);
    store.start();
    HttpServerSettings http;
    http.endpoint = parseEndpoint(FLAGS_listen).value();
    http.threads = serviceThreads;
    const auto server = HttpServer::listen(
            http, [&store](const HttpRequest &request) { return serve(&store, request); });
    if (!server) {
        logEvent(LogLevel::Error, "bind-failed", {{"endpoint", FLAGS_listen}});
        return 1;
    }
    logEvent(LogLevel::Info, "started", {{"listen", FLAGS_listen}});
    waitForStopSignal();
    logEvent(LogLevel::Info, "stopped");
    return 0;
}
