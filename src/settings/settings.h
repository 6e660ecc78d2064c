#pragma once

/// Settings of the programs: flags, and environment variables where a flag isn't given.

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornford {

/// A check of one flag's value. Returns whether \a value is allowed.
using SettingCheck = bool (*)(std::string_view value);

/// One row of a program's table of settings.
struct SettingRule
{
    std::string_view flag;
    SettingCheck check;
    std::string_view allowed; ///< the allowed range, for the error line
};

/// What a program says of itself.
struct ProgramInfo
{
    std::string_view name;
    std::string_view summary;
    std::string_view positional; ///< names of the arguments after the flags, empty if none
};

/// Reads flags and the environment variables BUCKTHORNFORD_<FLAG> and checks every rule.
/// On success \a argv keeps the positional arguments only. Returns the exit status with which the
/// program should end at once (0 after --help and --version, 2 after one line on a bad setting),
/// or nothing if it should go on.
std::optional<int> readSettings(int *argc, char ***argv, const ProgramInfo &program,
                                std::span<const SettingRule> rules);

/// Returns whether \a text is a whole number from \a low to \a high.
bool isWholeNumber(std::string_view text, std::int64_t low, std::int64_t high);

/// Returns whether \a text is a decimal number from \a low to \a high.
bool isDecimal(std::string_view text, double low, double high);

/// A check for whole numbers from Low to High.
template <std::int64_t Low, std::int64_t High>
bool isWholeNumberIn(std::string_view text)
{
    return isWholeNumber(text, Low, High);
}

/// A check for decimal numbers from 0 to 1.
bool isFraction(std::string_view text);

/// A check for IP:PORT with a numeric IPv4 address.
bool isEndpoint(std::string_view text);

/// As endpoint(), or empty.
bool isOptionalEndpoint(std::string_view text);

/// A check for a comma-separated list of IP:PORT, which may be empty.
bool isEndpointList(std::string_view text);

/// A check for names: letters, digits, '-', '_' and '.', at least one, at most 64.
bool isValidName(std::string_view text);

/// An IP address and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    std::string toString() const { return host + ":" + std::to_string(port); }
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// Parses IP:PORT. Error::BadSetting if it is malformed.
Result<Endpoint> parseEndpoint(std::string_view text);

/// Splits \a text at \a separator; no empty parts.
std::vector<std::string> splitList(std::string_view text, char separator);

/// Blocks SIGTERM and SIGINT in this thread and all it starts later. Call first in main().
void blockStopSignals();

/// Sleeps until SIGTERM or SIGINT arrives.
void waitForStopSignal();

} // namespace buckthornford
