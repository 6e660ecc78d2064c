#include "ctl/commands.h"

#include "ctl/explain.h"
#include "ctl/print.h"
#include "ctl/top.h"
#include "ctl/trace.h"
#include "preset/preset.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <limits>
#include <optional>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace buckthornford {

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int statusOk = 200;

/// Prints an error response, as JSON to the standard output if asked for, else as text to the
/// standard error. Returns the exit status.
int printFailure(const CommandContext &context, const OperatorClient::Response &response)
{
    if (context.json && response.body.is_object())
        std::cout << response.body.dump() << '\n';
    else
        printError(std::cerr, response);
    return exitFailed;
}

using Printer = void (*)(std::ostream &out, const nlohmann::json &body);

/// Reads \a path and prints the response with \a print, or as JSON. Returns the exit status.
int getAndPrint(const CommandContext &context, const std::string &path, Printer print)
{
    const OperatorClient::Response response = context.client->get(path);
    if (response.status != statusOk)
        return printFailure(context, response);
    if (context.json)
        std::cout << response.body.dump() << '\n';
    else
        print(std::cout, response.body);
    return exitOk;
}

int status(const CommandContext &context)
{
    return getAndPrint(context, "/status", printStatus);
}

int instances(const CommandContext &context)
{
    return getAndPrint(context, "/members", printMembers);
}

int presetsList(const CommandContext &context)
{
    return getAndPrint(context, "/configuration", printPresets);
}

int configurationShow(const CommandContext &context)
{
    return getAndPrint(
            context, "/configuration",
            [](std::ostream &out, const nlohmann::json &body) { out << body.dump(2) << '\n'; });
}

int presetsShow(const CommandContext &context)
{
    const OperatorClient::Response response = context.client->get("/configuration");
    if (response.status != statusOk)
        return printFailure(context, response);
    const auto pointer = nlohmann::json::json_pointer("/document/presets/" + context.arguments[0]);
    if (!response.body.contains(pointer)) {
        std::cerr << "the configuration has no preset \"" << context.arguments[0]
                  << "\"; see \"presets list\"\n";
        return exitFailed;
    }
    std::cout << response.body[pointer].dump(context.json ? -1 : 2) << '\n';
    return exitOk;
}

/// Reads a presets document and checks it as the node does. If the file can't be read or the
/// document is invalid, prints the error and returns nothing.
std::optional<std::string> readDocument(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        std::cerr << "cannot read the document \"" << fileName
                  << "\": no such file or no permission\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    const DocumentResult document = parseDocument(text.str());
    if (!document) {
        std::cerr << fileName << ": " << document.error().field << ' ' << document.error().detail
                  << '\n';
        return std::nullopt;
    }
    return text.str();
}

int presetsValidate(const CommandContext &context)
{
    if (!readDocument(context.arguments[0]))
        return exitFailed;
    std::cout << context.arguments[0] << ": valid\n";
    return exitOk;
}

/// Sends a change of the configuration. Unless the operator names a revision, the change is based
/// on the newest one, so that only one of two concurrent changes is accepted. A change whose id
/// the operator gives without a revision is sent without one: it follows whichever revision is the
/// newest at the node. The node applies changes of one id once.
int sendChange(const CommandContext &context, nlohmann::json change)
{
    change["id"] = context.changeId.empty() ? "ctl-" + toHex(randomNumber()) : context.changeId;
    if (!context.basedOn.empty()) {
        change["basedOn"] = std::stoull(context.basedOn);
    } else if (context.changeId.empty()) {
        const OperatorClient::Response response = context.client->get("/configuration");
        if (response.status != statusOk)
            return printFailure(context, response);
        change["basedOn"] = response.body.value("revision", 0);
    }
    const OperatorClient::Response response = context.client->post("/configuration", change.dump());
    if (response.status != statusOk)
        return printFailure(context, response);
    if (context.json)
        std::cout << response.body.dump() << '\n';
    else
        std::cout << "accepted as revision " << response.body["revision"] << " (change "
                  << response.body["id"].get<std::string>() << ")\n";
    return exitOk;
}

int presetsPut(const CommandContext &context)
{
    const auto text = readDocument(context.arguments[1]);
    if (!text)
        return exitFailed;
    return sendChange(context, {{"kind", "put"},
                                {"preset", context.arguments[0]},
                                {"document", nlohmann::json::parse(*text)}});
}

int presetsReplace(const CommandContext &context)
{
    const auto text = readDocument(context.arguments[0]);
    if (!text)
        return exitFailed;
    return sendChange(context, {{"kind", "replace"}, {"document", nlohmann::json::parse(*text)}});
}

int presetsSwitch(const CommandContext &context)
{
    return sendChange(context, {{"kind", "switch"}, {"preset", context.arguments[0]}});
}

/// Posts an empty body to \a path and prints \a confirmation, or the response as
/// JSON. Returns the exit status.
int postAndPrint(const CommandContext &context, const std::string &path,
                 std::string_view confirmation)
{
    const OperatorClient::Response response = context.client->post(path, "");
    if (response.status != statusOk)
        return printFailure(context, response);
    std::cout << (context.json ? response.body.dump() : std::string(confirmation)) << '\n';
    return exitOk;
}

int drain(const CommandContext &context)
{
    return postAndPrint(context, "/drain",
                        "draining: the node takes no new requests; \"status\" shows \"drained\" "
                        "once nothing is in flight");
}

int undrain(const CommandContext &context)
{
    return postAndPrint(context, "/undrain", "the node takes new requests again");
}

int poisonList(const CommandContext &context)
{
    return getAndPrint(context, "/poison", printPoison);
}

int poisonRelease(const CommandContext &context)
{
    const nlohmann::json body{{"content", context.arguments[0]}};
    const OperatorClient::Response response = context.client->post("/poison/release", body.dump());
    if (response.status != statusOk)
        return printFailure(context, response);
    std::cout << (context.json ? response.body.dump() : "released " + context.arguments[0]) << '\n';
    return exitOk;
}

int trace(const CommandContext &context)
{
    const std::size_t count
            = printTrace(std::cout, collectSpans(*context.client), context.arguments[0]);
    if (count > 0)
        return exitOk;
    std::cerr << "no span found; nodes hold only the newest spans of requests that were sampled or "
                 "did not complete: trace "
              << context.arguments[0] << '\n';
    return exitFailed;
}

/// Refreshes the view every second on a terminal; otherwise prints one view and returns. Waits a
/// second before the first view, as rates need two samples.
int top(const CommandContext &context)
{
    constexpr std::chrono::seconds interval(1);
    const bool isTerminal = isatty(STDOUT_FILENO) != 0;
    FleetView previous = readFleet(*context.client);
    if (previous.members.empty())
        return printFailure(context, context.client->get("/members"));
    const int refreshes = isTerminal ? std::numeric_limits<int>::max() : 1;
    for (int refresh = 0; refresh < refreshes; ++refresh) {
        std::this_thread::sleep_for(interval);
        FleetView current = readFleet(*context.client);
        if (isTerminal)
            std::cout << "\033[H\033[2J";
        printTop(std::cout, previous, current, std::chrono::duration<double>(interval).count());
        std::cout.flush();
        previous = std::move(current);
    }
    return exitOk;
}

int metrics(const CommandContext &context)
{
    const OperatorClient::Response response = context.client->get("/metrics");
    if (response.status != statusOk)
        return printFailure(context, response);
    std::cout << response.text;
    return exitOk;
}

/// Prints the log lines of a request as a tree, from a file of collected logs; "-" reads the
/// standard input.
int explain(const CommandContext &context)
{
    const std::string &id = context.arguments[0];
    const std::string &path = context.arguments[1];
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file) {
            std::cerr << "cannot read the log file (no such file or no permission): " << path
                      << '\n';
            return exitFailed;
        }
    }
    std::istream &log = path == "-" ? std::cin : file;
    if (printRequestTree(std::cout, readRequestLog(log, id)) > 0)
        return exitOk;
    std::cerr << "no log line names request " << id << '\n';
    return exitFailed;
}

constexpr std::array commandTable{
        Command{"status", "", "state, preset, load and request counts of the node", 0, status},
        Command{"instances", "", "all instances that the node knows of", 0, instances},
        Command{"presets list", "", "names of the presets; * marks the active one", 0, presetsList},
        Command{"presets show", "NAME", "print one preset", 1, presetsShow},
        Command{"presets validate", "FILE", "check a presets document; sends nothing to the node",
                1, presetsValidate},
        Command{"presets put", "NAME FILE",
                "add or replace one preset, taken from a presets document", 2, presetsPut},
        Command{"presets replace", "FILE", "replace the whole presets document", 1, presetsReplace},
        Command{"presets switch", "NAME", "put another preset into effect", 1, presetsSwitch},
        Command{"configuration", "", "the newest configuration as stored, as JSON", 0,
                configurationShow},
        Command{"drain", "", "make the node take no new requests and finish those in flight", 0,
                drain},
        Command{"undrain", "", "make the node take new requests again", 0, undrain},
        Command{"poison list", "", "contents of requests that ran during crashes of upstreams", 0,
                poisonList},
        Command{"poison release", "CONTENT", "let requests with a refused content run again", 1,
                poisonRelease},
        Command{"explain", "REQUEST FILE",
                "one request and the calls made for it as a tree, from a file of node logs "
                "(- for the standard input)",
                2, explain},
        Command{"trace", "TRACE",
                "one request as a tree, from the spans that the nodes hold in memory", 1, trace},
        Command{"top", "",
                "live view of rates and load at all nodes; printed once if not on a terminal", 0,
                top},
        Command{"metrics", "", "metrics of the node in the Prometheus text exposition format", 0,
                metrics},
};

} // namespace

std::span<const Command> commands()
{
    return commandTable;
}

const Command *findCommand(std::vector<std::string> *words)
{
    for (const Command &command : commandTable) {
        const std::vector<std::string> commandWords = splitList(command.words, ' ');
        if (words->size() < commandWords.size()
            || !std::equal(commandWords.begin(), commandWords.end(), words->begin()))
            continue;
        words->erase(words->begin(),
                     words->begin() + static_cast<std::ptrdiff_t>(commandWords.size()));
        return &command;
    }
    return nullptr;
}

} // namespace buckthornford
