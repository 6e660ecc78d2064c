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
constexpr int exitRefused = 1;
constexpr int statusOk = 200;

/// Prints an error answer; returns the exit status.
int refuse(const CommandContext &context, const OperatorClient::Reply &reply)
{
    if (context.json && reply.body.is_object())
        std::cout << reply.body.dump() << '\n';
    else
        printError(std::cerr, reply);
    return exitRefused;
}

using Printer = void (*)(std::ostream &out, const nlohmann::json &body);

int show(const CommandContext &context, const std::string &path, Printer print)
{
    const OperatorClient::Reply reply = context.client->read(path);
    if (reply.status != statusOk)
        return refuse(context, reply);
    if (context.json)
        std::cout << reply.body.dump() << '\n';
    else
        print(std::cout, reply.body);
    return exitOk;
}

int status(const CommandContext &context)
{
    return show(context, "/status", printStatus);
}

int instances(const CommandContext &context)
{
    return show(context, "/members", printMembers);
}

int presetsList(const CommandContext &context)
{
    return show(context, "/configuration", printPresets);
}

int configurationShow(const CommandContext &context)
{
    return show(context, "/configuration",
                [](std::ostream &out, const nlohmann::json &body) { out << body.dump(2) << '\n'; });
}

int presetShow(const CommandContext &context)
{
    const OperatorClient::Reply reply = context.client->read("/configuration");
    if (reply.status != statusOk)
        return refuse(context, reply);
    const auto pointer = nlohmann::json::json_pointer("/document/presets/" + context.arguments[0]);
    if (!reply.body.contains(pointer)) {
        std::cerr << "no preset \"" << context.arguments[0] << "\"\n";
        return exitRefused;
    }
    std::cout << reply.body[pointer].dump(context.json ? -1 : 2) << '\n';
    return exitOk;
}

/// Reads and checks a document. Returns nothing after having printed what is wrong.
std::optional<std::string> readDocument(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        std::cerr << "cannot read \"" << fileName << "\"\n";
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
        return exitRefused;
    std::cout << context.arguments[0] << ": valid\n";
    return exitOk;
}

/// Sends a change on top of the newest revision, so that a race has one winner.
int sendChange(const CommandContext &context, nlohmann::json change)
{
    change["id"] = context.changeId.empty() ? "ctl-" + toHex(randomNumber()) : context.changeId;
    if (!context.basedOn.empty()) {
        change["basedOn"] = std::stoull(context.basedOn);
    } else if (context.changeId.empty()) {
        const OperatorClient::Reply reply = context.client->read("/configuration");
        if (reply.status != statusOk)
            return refuse(context, reply);
        change["basedOn"] = reply.body.value("revision", 0);
    }
    const OperatorClient::Reply reply = context.client->post("/configuration", change.dump());
    if (reply.status != statusOk)
        return refuse(context, reply);
    if (context.json)
        std::cout << reply.body.dump() << '\n';
    else
        std::cout << "accepted as revision " << reply.body["revision"] << " (change "
                  << reply.body["id"].get<std::string>() << ")\n";
    return exitOk;
}

int presetsPut(const CommandContext &context)
{
    const auto text = readDocument(context.arguments[1]);
    if (!text)
        return exitRefused;
    return sendChange(context, {{"kind", "put"},
                                {"preset", context.arguments[0]},
                                {"document", nlohmann::json::parse(*text)}});
}

int presetsReplace(const CommandContext &context)
{
    const auto text = readDocument(context.arguments[0]);
    if (!text)
        return exitRefused;
    return sendChange(context, {{"kind", "replace"}, {"document", nlohmann::json::parse(*text)}});
}

int presetsSwitch(const CommandContext &context)
{
    return sendChange(context, {{"kind", "switch"}, {"preset", context.arguments[0]}});
}

int post(const CommandContext &context, const std::string &path, std::string_view done)
{
    const OperatorClient::Reply reply = context.client->post(path, "");
    if (reply.status != statusOk)
        return refuse(context, reply);
    std::cout << (context.json ? reply.body.dump() : std::string(done)) << '\n';
    return exitOk;
}

int drain(const CommandContext &context)
{
    return post(context, "/drain", "draining; status shows when nothing is in flight");
}

int undrain(const CommandContext &context)
{
    return post(context, "/undrain", "taking work again");
}

int poisonList(const CommandContext &context)
{
    return show(context, "/poison", printPoison);
}

int poisonRelease(const CommandContext &context)
{
    const nlohmann::json body{{"content", context.arguments[0]}};
    const OperatorClient::Reply reply = context.client->post("/poison/release", body.dump());
    if (reply.status != statusOk)
        return refuse(context, reply);
    std::cout << (context.json ? reply.body.dump() : "released " + context.arguments[0]) << '\n';
    return exitOk;
}

int trace(const CommandContext &context)
{
    const std::size_t count
            = printTrace(std::cout, collectSpans(*context.client), context.arguments[0]);
    if (count > 0)
        return exitOk;
    std::cerr << "no node keeps a span of trace " << context.arguments[0] << '\n';
    return exitRefused;
}

/// Refreshes the screen of a terminal; elsewhere prints one view as plain text.
int top(const CommandContext &context)
{
    constexpr std::chrono::seconds interval(1);
    const bool isTerminal = isatty(STDOUT_FILENO) != 0;
    FleetView before = readFleet(*context.client);
    if (before.members.empty())
        return refuse(context, context.client->read("/members"));
    const int views = isTerminal ? std::numeric_limits<int>::max() : 1;
    for (int view = 0; view < views; ++view) {
        std::this_thread::sleep_for(interval);
        FleetView now = readFleet(*context.client);
        if (isTerminal)
            std::cout << "\033[H\033[2J";
        printTop(std::cout, before, now, std::chrono::duration<double>(interval).count());
        std::cout.flush();
        before = std::move(now);
    }
    return exitOk;
}

int metrics(const CommandContext &context)
{
    const OperatorClient::Reply reply = context.client->read("/metrics");
    if (reply.status != statusOk)
        return refuse(context, reply);
    std::cout << reply.text;
    return exitOk;
}

/// Reads a file of collected logs; "-" is the standard input.
int explain(const CommandContext &context)
{
    const std::string &id = context.arguments[0];
    const std::string &path = context.arguments[1];
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file) {
            std::cerr << "cannot read " << path << '\n';
            return exitRefused;
        }
    }
    std::istream &log = path == "-" ? std::cin : file;
    if (printRequestTree(std::cout, readRequestLog(log, id)) > 0)
        return exitOk;
    std::cerr << "no line tells of request " << id << '\n';
    return exitRefused;
}

constexpr std::array commandTable{
        Command{"status", "", "state of one node", 0, status},
        Command{"instances", "", "all nodes that this node knows", 0, instances},
        Command{"presets list", "", "presets, and the one in force", 0, presetsList},
        Command{"presets show", "NAME", "one preset", 1, presetShow},
        Command{"presets validate", "FILE", "check a document without sending it", 1,
                presetsValidate},
        Command{"presets put", "NAME FILE", "add or replace one preset from a document", 2,
                presetsPut},
        Command{"presets replace", "FILE", "replace the whole document", 1, presetsReplace},
        Command{"presets switch", "NAME", "put another preset in force", 1, presetsSwitch},
        Command{"configuration", "", "the newest configuration as it is kept", 0,
                configurationShow},
        Command{"drain", "", "take no new work, finish what is in flight", 0, drain},
        Command{"undrain", "", "take work again", 0, undrain},
        Command{"poison list", "", "contents that ran during crashes of upstreams", 0, poisonList},
        Command{"poison release", "CONTENT", "let a refused content run again", 1, poisonRelease},
        Command{"explain", "REQUEST FILE",
                "one request and its calls as a tree, from collected logs", 2, explain},
        Command{"trace", "TRACE", "one request as a tree, from the spans that nodes keep", 1,
                trace},
        Command{"top", "", "live view of the fleet; one view if not on a terminal", 0, top},
        Command{"metrics", "", "metrics in the text exposition format", 0, metrics},
};

} // namespace

std::span<const Command> commands()
{
    return commandTable;
}

const Command *findCommand(std::vector<std::string> *words)
{
    for (const Command &command : commandTable) {
        const std::vector<std::string> wanted = splitList(command.words, ' ');
        if (words->size() < wanted.size()
            || !std::equal(wanted.begin(), wanted.end(), words->begin()))
            continue;
        words->erase(words->begin(), words->begin() + static_cast<std::ptrdiff_t>(wanted.size()));
        return &command;
    }
    return nullptr;
}

} // namespace buckthornford
