#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornford {

/// XXH3 64-bit checksum of \a bytes, equal on every machine.
std::uint64_t checksum(std::string_view bytes);

/// Sixteen lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

/// Reads what toHex() wrote, or fewer digits. Nothing if another character is in \a text.
std::optional<std::uint64_t> fromHex(std::string_view text);

/// A random 64-bit number from the operating system's generator; never 0.
std::uint64_t randomNumber();

} // namespace buckthornford
