#pragma once

#include <string_view>

namespace buckthornford {

/// What a caller is told about its request. Every request ends with exactly one outcome. Nodes
/// send the numeric value to each other, so the order must not change.
enum class Outcome {
    Completed, ///< it ran once and the answer is complete
    Failed,    ///< it ran, and the upstream answered with an error
    NotRun,    ///< it did not run and will never run under this idempotency key
    Unknown,   ///< it may have run, and will not be run again
};

/// Returns the stable name of \a outcome that headers, logs and metrics show.
std::string_view outcomeName(Outcome outcome);

} // namespace buckthornford
