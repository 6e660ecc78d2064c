#pragma once

/// Client of the platform's transactional table service.

#include "core/core.h"
#include "http_blocking/http_blocking.h"
#include "settings/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace buckthornford {

/// A row. Its version counts the writes to it; 0 means that the row does not exist.
struct TableRow
{
    std::string value;
    std::uint64_t version = 0;
};

/// Holds if the row of \a key is at \a version.
struct TableCondition
{
    std::string key;
    std::uint64_t version = 0;
};

/// Sets the row of \a key to \a value.
struct TableWrite
{
    std::string key;
    std::string value;
};

/// Writes that take effect together, or not at all if a condition fails.
struct TableTransaction
{
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;
};

/// Calls the service over one connection, which is opened again when needed. Blocks; is used by one
/// task only.
class TableClient
{
public:
    explicit TableClient(Endpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {}

    /// Returns the row of \a key, at version 0 if there is none. Fails with
    /// Error::PlatformUnavailable, Error::PlatformBusy, Error::Timeout, or the errors of a
    /// connection that ends early: Error::ConnectionLost and Error::AnswerCut.
    Result<TableRow> read(const std::string &key);

    /// Fails with Error::Conflict if a condition failed, and with the errors of read(). After
    /// Error::Timeout, Error::ConnectionLost and Error::AnswerCut the transaction may have taken
    /// effect.
    Result<void> commit(const TableTransaction &transaction);

private:
    Result<HttpResponse> exchange(const HttpRequest &request);

    Endpoint m_endpoint;
    std::optional<HttpConnection> m_connection;
};

} // namespace buckthornford
