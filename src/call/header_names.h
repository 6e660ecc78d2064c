#pragma once

namespace buckthornford {

/// Names of the HTTP headers that the node exchanges with callers and with its upstream;
/// docs/PROTOCOL.md describes them.
inline constexpr char classHeader[] = "Request-Class";
inline constexpr char callerHeader[] = "Request-Caller";
inline constexpr char timeoutHeader[] = "Request-Timeout"; ///< milliseconds
inline constexpr char keyHeader[] = "Idempotency-Key";
inline constexpr char traceHeader[] = "traceparent";
inline constexpr char contextHeader[] = "Buckthornford-Context"; ///< identifies an execution
inline constexpr char outcomeHeader[] = "Buckthornford-Outcome";
inline constexpr char reasonHeader[] = "Buckthornford-Reason";
inline constexpr char attemptsHeader[] = "Buckthornford-Attempts";
inline constexpr char replayedHeader[] = "Buckthornford-Replayed";
inline constexpr char checksumHeader[] = "Buckthornford-Checksum"; ///< XXH3-64 of the body
inline constexpr char notRunHeader[] = "Execution-Not-Run";        ///< from an upstream that sheds

} // namespace buckthornford
