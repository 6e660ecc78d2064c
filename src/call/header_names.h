#pragma once

namespace buckthornford {

/// Header names at the callers' and the upstream's doors; docs/PROTOCOL.md describes them.
inline constexpr char classHeader[] = "Request-Class";
inline constexpr char callerHeader[] = "Request-Caller";
inline constexpr char timeoutHeader[] = "Request-Timeout"; ///< milliseconds
inline constexpr char keyHeader[] = "Idempotency-Key";
inline constexpr char traceHeader[] = "traceparent";
inline constexpr char contextHeader[] = "Buckthornford-Context"; ///< names an execution
inline constexpr char outcomeHeader[] = "Buckthornford-Outcome";
inline constexpr char reasonHeader[] = "Buckthornford-Reason";
inline constexpr char attemptsHeader[] = "Buckthornford-Attempts";
inline constexpr char replayedHeader[] = "Buckthornford-Replayed";
inline constexpr char checksumHeader[] = "Buckthornford-Checksum"; ///< XXH3-64 of the body
inline constexpr char notRunHeader[] = "Execution-Not-Run"; ///< set by an upstream that sheds

} // namespace buckthornford
