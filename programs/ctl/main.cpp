#include "ctl/commands.h"
#include "settings/settings.h"

#include <gflags/gflags.h>

#include <array>
#include <iostream>

DEFINE_string(node, "127.0.0.1:7003", "address at which any node listens for operators");
DEFINE_bool(
        json, false,
        "print JSON; presets validate, explain, trace, top and metrics print text all the same");
DEFINE_string(change_id, "",
              "id of the change, random if empty; a change sent again with its id is applied once");
DEFINE_string(
        based_on, "",
        "revision that a change is based on; the change is refused if there is a newer one. If "
        "empty: the newest revision, or no check if --change_id is given");

using namespace buckthornford;

namespace {

bool isOptionalName(std::string_view text)
{
    return text.empty() || isValidName(text);
}

bool isOptionalRevision(std::string_view text)
{
    return text.empty() || isWholeNumber(text, 0, INT64_MAX);
}

constexpr std::array rules{
        SettingRule{"node", isEndpoint, "IP:PORT"},
        SettingRule{"change_id", isOptionalName,
                    "1 to 64 letters, digits, - _ ., or leave it empty"},
        SettingRule{"based_on", isOptionalRevision,
                    "a revision (a whole number from 0), or leave it empty"},
};
constexpr int exitUsage = 2;

int usage(const std::string &error)
{
    std::cerr << error << "\ncommands:\n";
    for (const Command &command : commands())
        std::cerr << "  " << command.words << ' ' << command.arguments << "  - " << command.help
                  << '\n';
    return exitUsage;
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo program{
            "buckthornford-ctl",
            "the operators' command line: shows and changes the state of running nodes",
            "COMMAND [ARGUMENT ...]"};
    if (const auto status = readSettings(&argc, &argv, program, rules))
        return *status;
    std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty())
        return usage("no command given");
    const std::string firstWord = words[0];
    const Command *command = findCommand(&words);
    if (command == nullptr)
        return usage("unknown command \"" + firstWord + "\"");
    if (words.size() != command->argumentCount)
        return usage("usage: buckthornford-ctl " + std::string(command->words) + " "
                     + std::string(command->arguments));
    const OperatorClient client(parseEndpoint(FLAGS_node).value());
    return command->run({&client, words, FLAGS_json, FLAGS_change_id, FLAGS_based_on});
}
