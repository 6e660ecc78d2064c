#pragma once

#include "settings/settings.h"

#include <boost/asio.hpp>

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace buckthornford {

/// The faults of a link; several may hold at once.
struct LinkFault
{
    Duration delay{0};            ///< in each direction
    double bytesPerSecond = 0.0;  ///< of each direction of a connection; 0: no limit
    bool cut = false;             ///< open and new connections are closed
    bool swallowToTarget = false; ///< bytes to the target are discarded
    bool swallowToClient = false; ///< bytes to the client are discarded
    bool swallowExisting = false; ///< open connections discard all bytes for good; new ones work

    /// New connections close after this many bytes to the client; 0: never.
    std::size_t breakAfterBytes = 0;
};

/// A link: the proxy listens on one address and connects to another.
struct LinkSpec
{
    std::string name;
    Endpoint listen;
    Endpoint target;
};

/// Parses "NAME=LISTEN/TARGET", both IP:PORT; Error::BadSetting if malformed.
Result<LinkSpec> parseLink(std::string_view text);

class ProxyLink;

/// A task that owns all sockets of the proxy. Its messages are posted to an asio context.
class Proxy
{
public:
    /// Listens on all \a links; Error::BindFailed if an address can't be used.
    static Result<std::unique_ptr<Proxy>> start(const std::vector<LinkSpec> &links);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    /// Replaces the faults of a link; Error::NotFound if there is no link called \a name.
    Result<void> setFault(const std::string &name, const LinkFault &fault);

private:
    Proxy() = default;

    boost::asio::io_context m_context;
    std::map<std::string, std::shared_ptr<ProxyLink>> m_links;
    std::thread m_thread;
};

} // namespace buckthornford
