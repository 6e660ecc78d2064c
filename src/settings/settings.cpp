#include "settings/settings.h"

#include <arpa/inet.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace buckthornford {

namespace {

constexpr int badSettingExitStatus = 2;
constexpr std::string_view versionText = "0.1.0";

/// Prints \a message to standard error and returns the exit status for a bad setting.
int printSettingError(const std::string &message)
{
    (void)std::fprintf(stderr, "%s\n", message.c_str());
    return badSettingExitStatus;
}

/// Returns whether the program defines \a flag, and not the gflags library.
bool isProgramFlag(const gflags::CommandLineFlagInfo &flag)
{
    return flag.filename.find("gflags") == std::string::npos;
}

std::vector<gflags::CommandLineFlagInfo> programFlags()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::erase_if(flags, [](const auto &flag) { return !isProgramFlag(flag); });
    return flags;
}

std::string environmentName(const std::string &flag)
{
    std::string variable = "BUCKTHORNFORD_";
    for (const char c : flag)
        variable += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return variable;
}

void printHelp(const ProgramInfo &program, std::span<const SettingRule> rules)
{
    std::printf("%s: %s\n\nusage: %s [--FLAG=VALUE ...]%s%s\n\n", program.name.data(),
                program.summary.data(), program.name.data(), program.positional.empty() ? "" : " ",
                program.positional.data());
    for (const auto &flag : programFlags()) {
        const auto rule = std::find_if(rules.begin(), rules.end(), [&flag](const auto &candidate) {
            return candidate.flag == flag.name;
        });
        const std::string allowed
                = rule == rules.end() ? "" : "; allowed: " + std::string(rule->allowed);
        std::printf("  --%s  %s (default \"%s\"%s)\n", flag.name.c_str(), flag.description.c_str(),
                    flag.default_value.c_str(), allowed.c_str());
    }
    std::printf("\nA flag that is not given is read from the environment variable "
                "BUCKTHORNFORD_<FLAG>, with the flag's name in capital letters.\n");
}

/// Sets one flag to \a value; returns the error message if that fails. \a source says in the
/// message where the value comes from; empty for the command line.
std::optional<std::string> setFlag(const std::string &flag, const std::string &value,
                                   std::string_view source)
{
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(flag.c_str(), &info) || !isProgramFlag(info))
        return "unknown flag --" + flag + "; see --help";
    if (!gflags::SetCommandLineOption(flag.c_str(), value.c_str()).empty())
        return std::nullopt;
    return "--" + flag + std::string(source) + ": value \"" + value + "\" is not a valid "
           + info.type;
}

/// Sets every flag that is not given on the command line from its environment variable, if that
/// exists; returns the error message if that fails.
std::optional<std::string> readEnvironment()
{
    for (const auto &flag : programFlags()) {
        const std::string variable = environmentName(flag.name);
        const char *value = std::getenv(variable.c_str());
        if (value == nullptr || !flag.is_default)
            continue;
        if (auto error = setFlag(flag.name, value, " (from " + variable + ")"))
            return error;
    }
    return std::nullopt;
}

/// Returns the error message for the first flag whose value breaks its rule, nothing if all pass.
std::optional<std::string> checkRules(std::span<const SettingRule> rules)
{
    for (const SettingRule &rule : rules) {
        std::string value;
        gflags::GetCommandLineOption(std::string(rule.flag).c_str(), &value);
        if (!rule.check(value)) {
            return "--" + std::string(rule.flag) + ": value \"" + value + "\" is not allowed; use "
                   + std::string(rule.allowed);
        }
    }
    return std::nullopt;
}

/// Reads one "--flag=value", "--flag value" or, for a boolean, "--flag" at \a index, which moves to
/// the last argument read. Returns the error message if that fails.
std::optional<std::string> readFlag(int argc, char **argv, int *index)
{
    std::string flag = std::string(argv[*index]).substr(2);
    const std::size_t equals = flag.find('=');
    if (equals != std::string::npos)
        return setFlag(flag.substr(0, equals), flag.substr(equals + 1), "");
    gflags::CommandLineFlagInfo info;
    const bool isKnown = gflags::GetCommandLineFlagInfo(flag.c_str(), &info);
    if (isKnown && info.type == "bool")
        return setFlag(flag, "true", "");
    if (isKnown && *index + 1 < argc)
        return setFlag(flag, argv[++*index], "");
    return isKnown ? "--" + flag + " needs a value; use --FLAG=VALUE"
                   : "unknown flag --" + flag + "; see --help";
}

} // namespace

std::optional<int> readSettings(int *argc, char ***argv, const ProgramInfo &program,
                                std::span<const SettingRule> rules)
{
    int keptCount = 1; // The program's name and the positional arguments.
    for (int i = 1; i < *argc; ++i) {
        const std::string_view argument = (*argv)[i];
        if (argument == "--help") {
            printHelp(program, rules);
            return 0;
        }
        if (argument == "--version") {
            std::printf("%s %s\n", program.name.data(), versionText.data());
            return 0;
        }
        if (!argument.starts_with("--")) {
            (*argv)[keptCount++] = (*argv)[i];
            continue;
        }
        if (auto error = readFlag(*argc, *argv, &i))
            return printSettingError(*error);
    }
    *argc = keptCount;
    if (keptCount > 1 && program.positional.empty())
        return printSettingError("unexpected argument \"" + std::string((*argv)[1])
                                 + "\"; see --help");
    if (auto error = readEnvironment())
        return printSettingError(*error);
    if (auto error = checkRules(rules))
        return printSettingError(*error);
    return std::nullopt;
}

bool isWholeNumber(std::string_view text, std::int64_t low, std::int64_t high)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && parsedEnd == end && value >= low && value <= high;
}

bool isDecimal(std::string_view text, double low, double high)
{
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && parsedEnd == end && value >= low && value <= high;
}

bool isFraction(std::string_view text)
{
    return isDecimal(text, 0.0, 1.0);
}

bool isEndpoint(std::string_view text)
{
    return parseEndpoint(text).has_value();
}

bool isOptionalEndpoint(std::string_view text)
{
    return text.empty() || isEndpoint(text);
}

bool isEndpointList(std::string_view text)
{
    const auto parts = splitList(text, ',');
    return std::all_of(parts.begin(), parts.end(),
                       [](const std::string &part) { return isEndpoint(part); });
}

bool isValidName(std::string_view text)
{
    constexpr std::size_t maxNameLength = 64;
    const auto isNameCharacter = [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= maxNameLength
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    constexpr int maxPort = 65535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return Error::BadSetting;
    const std::string host(text.substr(0, colon));
    const std::string_view port = text.substr(colon + 1);
    in_addr address{};
    if (inet_pton(AF_INET, host.c_str(), &address) != 1 || !isWholeNumber(port, 1, maxPort))
        return Error::BadSetting;
    std::uint16_t portNumber = 0;
    std::from_chars(port.data(), port.data() + port.size(), portNumber);
    return Endpoint{host, portNumber};
}

std::vector<std::string> splitList(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        if (end > 0)
            parts.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockStopSignals()
{
    (void)std::signal(SIGPIPE, SIG_IGN);
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace buckthornford
