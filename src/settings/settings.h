#pragma once

/// Settings of a program, read from its flags and, where a flag is not given, from the environment.

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornford {

/// Returns whether \a value is allowed for a flag.
using SettingCheck = bool (*)(std::string_view value);

/// The values that are allowed for one flag of a program.
struct SettingRule
{
    std::string_view flag; ///< without the leading "--"
    SettingCheck check;
    std::string_view allowed; ///< describes the allowed values in --help and in error messages
};

/// Name and usage of a program, for --help and --version.
struct ProgramInfo
{
    std::string_view name;
    std::string_view summary;
    std::string_view positional; ///< usage text of the arguments after the flags; empty if none
};

/// Reads the flags in \a argv, and from environment variables BUCKTHORNFORD_<FLAG> those that are
/// not given; then checks all values by \a rules. Returns the exit status if the program has to end
/// at once: 0 after --help and --version, 2 after a bad setting, which one line on standard error
/// names. Otherwise returns nothing, and \a argv holds the program's name and the positional
/// arguments only.
std::optional<int> readSettings(int *argc, char ***argv, const ProgramInfo &program,
                                std::span<const SettingRule> rules);

/// Returns whether \a text is a whole number from \a low to \a high.
bool isWholeNumber(std::string_view text, std::int64_t low, std::int64_t high);

/// Returns whether \a text is a decimal number from \a low to \a high.
bool isDecimal(std::string_view text, double low, double high);

/// Returns whether \a text is a whole number from \a Low to \a High; usable as a SettingCheck.
template <std::int64_t Low, std::int64_t High>
bool isWholeNumberIn(std::string_view text)
{
    return isWholeNumber(text, Low, High);
}

/// Returns whether \a text is a decimal number from 0 to 1.
bool isFraction(std::string_view text);

/// Returns whether \a text is IP:PORT with a numeric IPv4 address and a port from 1 to 65535.
bool isEndpoint(std::string_view text);

/// Returns whether \a text is empty or passes isEndpoint().
bool isOptionalEndpoint(std::string_view text);

/// Returns whether \a text is a comma-separated list of IP:PORT, which may be empty.
bool isEndpointList(std::string_view text);

/// Returns whether \a text is a name: 1 to 64 letters, digits, '-', '_' and '.'.
bool isValidName(std::string_view text);

/// A numeric IPv4 address and a TCP port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    std::string toString() const { return host + ":" + std::to_string(port); }
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// Parses IP:PORT. Error::BadSetting if it is malformed.
Result<Endpoint> parseEndpoint(std::string_view text);

/// Splits \a text at each \a separator and leaves out empty parts.
std::vector<std::string> splitList(std::string_view text, char separator);

/// Blocks SIGTERM and SIGINT in this thread and in all threads that it starts later, and ignores
/// SIGPIPE. Call it first in main(), so that only waitForStopSignal() receives the signals.
void blockStopSignals();

/// Waits until SIGTERM or SIGINT arrives; blockStopSignals() must have been called before.
void waitForStopSignal();

} // namespace buckthornford
