#pragma once

/// Tasks that share one event loop: each owns its sockets and its state, and they talk by messages.

#include "core/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace buckthornford {

using EventLoop = boost::asio::io_context;

/// A task on an event loop. Derived classes own their state; nothing else touches it. All tasks
/// of a loop run on the one thread that runs the loop, so a message needs no lock.
template <class Message>
class LoopTask
{
public:
    explicit LoopTask(EventLoop *loop)
        : m_loop(loop)
        , m_timer(*loop)
        , m_alive(std::make_shared<bool>(true))
    {}
    LoopTask(const LoopTask &) = delete;
    LoopTask &operator=(const LoopTask &) = delete;
    virtual ~LoopTask() { *m_alive = false; }

    /// Does the first tick once the loop runs.
    void start()
    {
        boost::asio::post(*m_loop, [this, alive = m_alive] {
            if (*alive)
                wake(monotonicNow());
        });
    }

    /// Hands \a message over; it is handled after the handler in progress.
    void post(Message message)
    {
        m_messages.push_back(std::move(message));
        if (std::exchange(m_isScheduled, true))
            return;
        boost::asio::post(*m_loop, [this, alive = m_alive] {
            if (*alive)
                handleQueued();
        });
    }

protected:
    EventLoop &loop() { return *m_loop; }

    /// Handles one message that arrived at \a now.
    virtual void handle(Message &&message, TimePoint now) = 0;

    /// Does what is due at \a now and returns when to be called next.
    virtual TimePoint tick(TimePoint now) = 0;

    /// Is called after a batch of messages, for what is done once for all of them.
    virtual void onBatchHandled(TimePoint) {}

    /// Has tick() called at \a time at the latest.
    void wakeBy(TimePoint time)
    {
        if (!m_wakeTime || time < *m_wakeTime)
            arm(time);
    }

private:
    void handleQueued()
    {
        m_isScheduled = false;
        const TimePoint now = monotonicNow();
        std::deque<Message> messages = std::exchange(m_messages, {});
        for (Message &message : messages)
            handle(std::move(message), now);
        onBatchHandled(now);
    }

    void wake(TimePoint now)
    {
        m_wakeTime.reset();
        const TimePoint next = tick(now);
        onBatchHandled(now);
        wakeBy(next);
    }

    void arm(TimePoint time)
    {
        m_wakeTime = time;
        m_timer.expires_at(time);
        m_timer.async_wait([this, alive = m_alive](const boost::system::error_code &error) {
            if (!error && *alive)
                wake(monotonicNow());
        });
    }

    EventLoop *m_loop;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_alive;
    std::deque<Message> m_messages;
    std::optional<TimePoint> m_wakeTime;
    bool m_isScheduled = false;
};

} // namespace buckthornford
