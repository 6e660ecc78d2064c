#include "ctl/commands.h"
#include "settings/settings.h"

#include <gflags/gflags.h>

#include <array>
#include <iostream>

DEFINE_string(node, "127.0.0.1:7003", "operators' door of any node");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(change_id, "", "id of a change, to send the same change again");
DEFINE_string(based_on, "", "revision that a change is based on; empty for the newest");

using namespace buckthornford;

namespace {

bool optionalName(std::string_view text)
{
    return text.empty() || isValidName(text);
}

bool optionalRevision(std::string_view text)
{
    return text.empty() || isWholeNumber(text, 0, INT64_MAX);
}

constexpr std::array rules{
        SettingRule{"node", isEndpoint, "IP:PORT"},
        SettingRule{"change_id", optionalName, "1 to 64 letters, digits, - _ . or nothing"},
        SettingRule{"based_on", optionalRevision, "a revision or nothing"},
};
constexpr int exitUsage = 2;

int usage(const std::string &line)
{
    std::cerr << line << "\ncommands:\n";
    for (const Command &command : commands())
        std::cerr << "  " << command.words << ' ' << command.arguments << "  - " << command.help
                  << '\n';
    return exitUsage;
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo program{"buckthornford-ctl", "the operators' command line",
                              "COMMAND [ARGUMENT ...]"};
    if (const auto status = readSettings(&argc, &argv, program, rules))
        return *status;
    std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty())
        return usage("a command is needed");
    const std::string given = words[0];
    const Command *command = findCommand(&words);
    if (command == nullptr)
        return usage("unknown command \"" + given + "\"");
    if (words.size() != command->argumentCount)
        return usage("usage: " + std::string(command->words) + " "
                     + std::string(command->arguments));
    const OperatorClient client(parseEndpoint(FLAGS_node).value());
    return command->run({&client, words, FLAGS_json, FLAGS_change_id, FLAGS_based_on});
}
