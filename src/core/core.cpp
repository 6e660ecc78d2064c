#include "core/core.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <random>

namespace buckthornford {

TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime steadyWallNow()
{
    struct ClockOrigin
    {
        TimePoint monotonic = monotonicNow();
        Duration wall = std::chrono::duration_cast<Duration>(
                std::chrono::system_clock::now().time_since_epoch());
    };
    static const ClockOrigin origin;
    return WallTime{(origin.wall + (monotonicNow() - origin.monotonic)).count()};
}

std::string_view outcomeName(Outcome outcome)
{
    static constexpr std::array<std::string_view, 4> names{"completed", "failed", "not-run",
                                                           "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

std::uint64_t checksum(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string toHex(std::uint64_t value)
{
    constexpr int hexDigits = 16;
    std::array<char, hexDigits + 1> text{};
    (void)std::snprintf(text.data(), text.size(), "%016llx",
                        static_cast<unsigned long long>(value));
    return {text.data(), hexDigits};
}

std::optional<std::uint64_t> fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data(), end, value, 16);
    if (error != std::errc() || parsedEnd != end)
        return std::nullopt;
    return value;
}

std::uint64_t randomNumber()
{
    thread_local std::mt19937_64 generator{[] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }()};
    std::uint64_t value = 0;
    while (value == 0)
        value = generator();
    return value;
}

} // namespace buckthornford
