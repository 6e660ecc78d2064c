#include "telemetry/telemetry.h"

#include <easylogging++.h>

#include <array>
#include <ctime>

INITIALIZE_EASYLOGGINGPP // NOLINT

        namespace buckthornford
{
    namespace {

    std::string &programName()
    {
        static std::string name;
        return name;
    }

    std::string formatUtc(WallTime time)
    {
        constexpr std::int64_t microsecondsPerSecond = 1'000'000;
        const std::time_t seconds = time.value() / microsecondsPerSecond;
        std::tm utc{};
        gmtime_r(&seconds, &utc);
        std::array<char, 64> text{};
        const std::size_t length
                = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
        const auto microseconds = static_cast<int>(time.value() % microsecondsPerSecond);
        (void)std::snprintf(text.data() + length, text.size() - length, ".%06dZ", microseconds);
        return text.data();
    }

    } // namespace

    void startLog(std::string_view program)
    {
        programName() = program;
        el::Configurations configuration;
        configuration.setToDefault();
        configuration.setGlobally(el::ConfigurationType::Format, "%msg");
        configuration.setGlobally(el::ConfigurationType::ToFile, "false");
        configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
        el::Loggers::reconfigureAllLoggers(configuration);
    }

    void logEvent(LogLevel level, std::string_view event, const nlohmann::json &fields)
    {
        static constexpr std::array<std::string_view, 3> levelNames{"info", "warning", "error"};
        nlohmann::json line = fields;
        line["time"] = formatUtc(steadyWallNow());
        line["level"] = levelNames[static_cast<std::size_t>(level)];
        line["program"] = programName();
        line["event"] = event;
        LOG(INFO) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

} // namespace buckthornford
