#include "fault/proxy.h"

#include "fault/link.h"

namespace buckthornford {

Result<LinkSpec> parseLink(std::string_view text)
{
    const std::size_t equals = text.find('=');
    const std::size_t slash = text.find('/');
    if (equals == std::string_view::npos || slash == std::string_view::npos || slash < equals)
        return Error::BadSetting;
    const Result<Endpoint> listen = parseEndpoint(text.substr(equals + 1, slash - equals - 1));
    const Result<Endpoint> target = parseEndpoint(text.substr(slash + 1));
    if (!listen || !target || !isValidName(text.substr(0, equals)))
        return Error::BadSetting;
    return LinkSpec{std::string(text.substr(0, equals)), listen.value(), target.value()};
}

Result<std::unique_ptr<Proxy>> Proxy::start(const std::vector<LinkSpec> &links)
{
    std::unique_ptr<Proxy> proxy(new Proxy);
    for (const LinkSpec &spec : links) {
        auto link = std::make_shared<ProxyLink>(&proxy->m_context, spec);
        const Result<void> listening = link->listen();
        if (!listening)
            return listening.error();
        proxy->m_links.emplace(spec.name, std::move(link));
    }
    proxy->m_thread = std::thread([context = &proxy->m_context] { context->run(); });
    return proxy;
}

Proxy::~Proxy()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

Result<void> Proxy::setFault(const std::string &name, const LinkFault &fault)
{
    const auto link = m_links.find(name);
    if (link == m_links.end())
        return Error::NotFound;
    boost::asio::post(m_context, [target = link->second, fault] { target->setFault(fault); });
    return success();
}

} // namespace buckthornford
