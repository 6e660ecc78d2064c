#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornford {

/// Returns the XXH3 64-bit hash of \a bytes, the same on every machine.
std::uint64_t checksum(std::string_view bytes);

/// Returns \a value as sixteen lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

/// Parses hexadecimal digits of either case. Returns nothing if \a text is empty, holds another
/// character or does not fit in 64 bits.
std::optional<std::uint64_t> fromHex(std::string_view text);

/// Returns a random 64-bit number, never 0. Each thread has a generator of its own, whose seed
/// comes from the operating system; the numbers are not fit for secrets.
std::uint64_t randomNumber();

} // namespace buckthornford
