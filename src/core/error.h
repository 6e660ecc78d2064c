#pragma once

#include <boost/outcome/result.hpp>

#include <string_view>
#include <system_error>
#include <type_traits>

namespace buckthornford {

/// Every error and refusal of the system. errorRow() returns the name, the message and the HTTP
/// status of a value. Nodes send the numeric value to each other, so the order must not change.
enum class Error {
    None,
    // Malformed or unknown input from a caller, an operator or a settings source.
    UnknownService,
    UnknownClass,
    MissingHeader,
    MalformedHeader,
    MalformedJson,
    MalformedPath,
    BadTimeout,
    BodyTooLarge,
    BadKey,
    BadSetting,
    BadDocument,
    BadPreset,
    NotFound,
    MethodNotAllowed,
    // Refusals: the request did not run. Only Cancelled may also come while it runs.
    QueueFull,
    Shed,
    DeadlineExpired,
    NoTarget,
    TargetLeaving,
    TargetUnreachable,
    BudgetExhausted,
    RetryRatioExceeded,
    IdempotencyTableFull,
    KeyRefused,
    KeyMoved,
    ExecutionEnded,
    DepthExceeded,
    Poisonous,
    Cancelled,
    UpstreamAbsent,
    TooManyConnections,
    NoConfiguration,
    NoRoute,
    // Failures after the request was sent to the upstream.
    UpstreamFailed,
    UpstreamLost,
    AnswerCut,
    // It is unknown whether the request ran.
    KeyOwnerGone,
    KeyExpired,
    AnswerLost,
    // The platform's table service and changes of the configuration.
    PlatformUnavailable,
    PlatformBusy,
    Conflict,
    ChangeUnknown,
    // Input and output.
    ConnectFailed,
    ConnectionLost,
    Timeout,
    BindFailed,
    // A refusal at the node where a chain of calls begins.
    ChainOverloaded,
    Internal,
};

/// Name, message and HTTP status of one Error.
struct ErrorRow
{
    Error error;
    std::string_view name;    ///< stable; stands in JSON responses, logs and metrics
    std::string_view message; ///< says to people what happened, without the value at fault
    int httpStatus;           ///< status of an HTTP response that reports the error
};

/// Returns the row of \a error, that of Error::Internal for a value outside the enum.
const ErrorRow &errorRow(Error error);

/// Returns the error whose ErrorRow::name is \a name, Error::Internal if there is none.
Error errorFromName(std::string_view name);

/// The std::error_code category of Error.
const std::error_category &errorCategory();

std::error_code make_error_code(Error error); // NOLINT(readability-identifier-naming)

/// Returns the Error that \a code holds, Error::Internal if its category is not errorCategory().
Error errorOf(const std::error_code &code);

/// A value or an error. Reading the value of a result that holds an error terminates the process.
template <class T>
using Result
        = boost::outcome_v2::basic_result<T, std::error_code, boost::outcome_v2::policy::terminate>;

/// The success value of Result<void>.
inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace buckthornford

template <>
struct std::is_error_code_enum<buckthornford::Error> : std::true_type
{};
