#pragma once

#include "ctl/client.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornford {

/// What a command works with.
struct CommandContext
{
    const OperatorClient *client = nullptr;
    std::vector<std::string> arguments; ///< after the command's own words
    bool json = false;
    std::string changeId; ///< empty to make one
    std::string basedOn;  ///< revision; empty for the newest
};

/// A row of the command table. \a run returns the exit status.
struct Command
{
    std::string_view words;
    std::string_view arguments;
    std::string_view help;
    std::size_t argumentCount;
    int (*run)(const CommandContext &context);
};

std::span<const Command> commands();

/// Finds the command that \a words begin with and removes its words. Returns nullptr if none.
const Command *findCommand(std::vector<std::string> *words);

} // namespace buckthornford
