#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace buckthornford {

enum class LogLevel { Info, Warning, Error };

/// Starts the log: JSON lines on standard error, each with "time", "level", "program" and "event".
void startLog(std::string_view program);

/// Writes one line; \a fields is an object whose members are added to the line.
void logEvent(LogLevel level, std::string_view event,
              const nlohmann::json &fields = nlohmann::json::object());

} // namespace buckthornford
