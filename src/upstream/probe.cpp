#include "upstream/upstream.h"

#include <utility>

namespace buckthornford {

namespace {

constexpr Duration probeTimeout = std::chrono::milliseconds(300);

/// State of one connection attempt; the connect and the timer race.
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

void probe(EventLoop *loop, const Endpoint &endpoint, std::function<void(bool)> onResult)
{
    const auto state = std::make_shared<Probe>(loop);
    const auto finishOnce = [state, onResult = std::move(onResult)](bool isReachable) {
        if (std::exchange(state->isDone, true))
            return;
        state->timer.cancel();
        boost::system::error_code ignored;
        state->socket.close(ignored);
        onResult(isReachable);
    };
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(endpoint.host, error);
    state->socket.async_connect({address, endpoint.port},
                                [finishOnce](const boost::system::error_code &connectError) {
                                    finishOnce(!connectError);
                                });
    state->timer.expires_after(probeTimeout);
    state->timer.async_wait([finishOnce](const boost::system::error_code &waitError) {
        if (!waitError)
            finishOnce(true); // No response is no proof of a crash; the endpoint may be slow.
    });
}

} // namespace buckthornford
