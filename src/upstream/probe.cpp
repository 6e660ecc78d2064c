#include "upstream/upstream.h"

#include <utility>

namespace buckthornford {

namespace {

constexpr Duration probeTimeout = std::chrono::milliseconds(300);

/// One try to connect.
struct Probe
{
    explicit Probe(EventLoop *loop)
        : socket(*loop)
        , timer(*loop)
    {}

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    bool isDone = false;
};

} // namespace

void probe(EventLoop *loop, const Endpoint &endpoint, std::function<void(bool)> report)
{
    const auto attempt = std::make_shared<Probe>(loop);
    const auto finish = [attempt, report = std::move(report)](bool isReachable) {
        if (std::exchange(attempt->isDone, true))
            return;
        attempt->timer.cancel();
        boost::system::error_code ignored;
        attempt->socket.close(ignored);
        report(isReachable);
    };
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(endpoint.host, error);
    attempt->socket.async_connect(
            {address, endpoint.port},
            [finish](const boost::system::error_code &failure) { finish(!failure); });
    attempt->timer.expires_after(probeTimeout);
    attempt->timer.async_wait([finish](const boost::system::error_code &cancelled) {
        if (!cancelled)
            finish(true); // Silence is no proof of a crash.
    });
}

} // namespace buckthornford
