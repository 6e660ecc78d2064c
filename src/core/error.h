#pragma once

#include <boost/outcome/result.hpp>

#include <string_view>
#include <system_error>
#include <type_traits>

namespace buckthornford {

/// Every error and refusal of the system, one value each. errorTable() holds the message, the
/// stable name and the HTTP status of each value.
enum class Error {
    None,
    // Bad input at a door.
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
    // Refusals: the work did not happen.
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
    // Failures during or after the work.
    UpstreamFailed,
    UpstreamLost,
    AnswerCut,
    // Outcome unknown.
    KeyOwnerGone,
    KeyExpired,
    AnswerLost,
    // Platform and configuration.
    PlatformUnavailable,
    PlatformBusy,
    Conflict,
    ChangeUnknown,
    // Input and output.
    ConnectFailed,
    ConnectionLost,
    Timeout,
    BindFailed,
    Internal,
};

/// One row of the error table.
struct ErrorRow
{
    Error error;
    std::string_view name;    ///< stable, in JSON answers and logs
    std::string_view message; ///< one sentence for people
    int httpStatus;           ///< status at the callers' door
};

/// Returns the row of \a error; every value has one.
const ErrorRow &errorRow(Error error);

/// Returns the error with the stable name \a name, Error::Internal if there is none.
Error errorFromName(std::string_view name);

/// The std::error_code category of Error.
const std::error_category &errorCategory();

std::error_code make_error_code(Error error); // NOLINT(readability-identifier-naming)

/// Returns the Error inside \a code, Error::Internal for another category.
Error errorOf(const std::error_code &code);

/// A value or an error; only broken invariants stop the process.
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
