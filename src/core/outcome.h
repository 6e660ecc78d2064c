#pragma once

#include <string_view>

namespace buckthornford {

/// What a caller can know of its request. Every request ends with exactly one.
enum class Outcome {
    Completed, ///< it ran once and the whole answer is here
    Failed,    ///< it ran, and the upstream answered with an error
    NotRun,    ///< it did not run and never will under this key
    Unknown,   ///< it may have run; it is not run again
};

std::string_view outcomeName(Outcome outcome);

} // namespace buckthornford
