#pragma once

#include "settings/settings.h"

#include <boost/asio.hpp>

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace buckthornford {

/// What is wrong with one link.
struct LinkFault
{
    Duration delay{0};               ///< each way
    double bytesPerSecond = 0.0;     ///< each way and connection; 0 for no limit
    bool cut = false;                ///< connections are reset and refused
    bool swallowToTarget = false;    ///< bytes vanish on the way there
    bool swallowToClient = false;    ///< bytes vanish on the way back
    bool swallowExisting = false;    ///< open connections go silent for good; new ones work
    std::size_t breakAfterBytes = 0; ///< new connections break after this many bytes back; 0: never
};

struct LinkSpec
{
    std::string name;
    Endpoint listen;
    Endpoint target;
};

/// Parses "NAME=IP:PORT/IP:PORT"; Error::BadSetting if malformed.
Result<LinkSpec> parseLink(std::string_view text);

class ProxyLink;

/// The task that owns all sockets of the proxy; an asio context is its mailbox.
class Proxy
{
public:
    /// Error::BindFailed if an address can't be used.
    static Result<std::unique_ptr<Proxy>> start(const std::vector<LinkSpec> &links);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    /// Error::NotFound if there is no link called \a name.
    Result<void> setFault(const std::string &name, const LinkFault &fault);

private:
    Proxy() = default;

    boost::asio::io_context m_context;
    std::map<std::string, std::shared_ptr<ProxyLink>> m_links;
    std::thread m_thread;
};

} // namespace buckthornford
