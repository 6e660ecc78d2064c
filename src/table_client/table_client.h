#pragma once

/// Client of the platform's transactional table service.

#include "core/core.h"
#include "http_blocking/http_blocking.h"
#include "settings/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace buckthornford {

/// A row with the version that counts its writes; 0 is a row that doesn't exist.
struct TableRow
{
    std::string value;
    std::uint64_t version = 0;
};

struct TableCondition
{
    std::string key;
    std::uint64_t version = 0;
};

struct TableWrite
{
    std::string key;
    std::string value;
};

/// Rows that are written together, or not at all if a condition fails.
struct TableTransaction
{
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;
};

/// Talks to the service on one connection of its own. Belongs to one task.
class TableClient
{
public:
    explicit TableClient(Endpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {}

    /// Error::PlatformUnavailable, Error::PlatformBusy or Error::Timeout.
    Result<TableRow> read(const std::string &key);

    /// Error::Conflict if a condition failed. After Error::Timeout and Error::ConnectionLost the
    /// transaction may have taken effect.
    Result<void> commit(const TableTransaction &transaction);

private:
    Result<HttpResponse> exchange(const HttpRequest &request);

    Endpoint m_endpoint;
    std::optional<HttpConnection> m_connection;
};

} // namespace buckthornford
