#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace buckthornford {

/// Level of a log line, written as its field "level"; every level is written.
enum class LogLevel { Info, Warning, Error };

/// Sets up logging of JSON lines to standard output, each with "time", "level", "program" and
/// "event". Call it once at the start of main().
void startLog(std::string_view program);

/// Writes one line; \a fields is a JSON object whose members are added to the line.
void logEvent(LogLevel level, std::string_view event,
              const nlohmann::json &fields = nlohmann::json::object());

} // namespace buckthornford
