#pragma once

#include "ctl/client.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornford {

/// The node, the arguments and the flags that a command runs with.
struct CommandContext
{
    const OperatorClient *client = nullptr;
    std::vector<std::string> arguments; ///< without the words that name the command
    bool json = false;                  ///< print JSON instead of text
    std::string changeId;               ///< id of the change; empty for a random one
    std::string basedOn; ///< revision that a change must follow; see sendChange() if empty
};

/// A row of the command table.
struct Command
{
    std::string_view words;     ///< name of the command, such as "presets list"
    std::string_view arguments; ///< their names for the usage text; empty if it takes none
    std::string_view help;
    std::size_t argumentCount;
    int (*run)(const CommandContext &context); ///< returns the exit status
};

/// Returns all commands in the order in which the usage text lists them.
std::span<const Command> commands();

/// Finds the command whose words \a words starts with, and removes these from \a words, so that
/// the arguments remain. Returns nullptr if there is no such command.
const Command *findCommand(std::vector<std::string> *words);

} // namespace buckthornford
