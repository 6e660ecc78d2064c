#pragma once

/// Base class of tasks on one event loop. Each task owns its sockets and its state; tasks talk to
/// each other by messages.

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

/// A task on an event loop. Only the task itself touches its state. All tasks of a loop run on the
/// one thread that runs the loop, so posting a message needs no lock.
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

    /// Schedules the first call of tick() for when the loop runs.
    void start()
    {
        boost::asio::post(*m_loop, [this, alive = m_alive] {
            if (*alive)
                wake(monotonicNow());
        });
    }

    /// Queues a message that is built from \a content, for a variant one of its alternatives. It is
    /// handled after the handler that the loop is running now has returned.
    template <class Content>
    void post(Content &&content)
    {
        m_messages.emplace_back(std::forward<Content>(content));
        if (std::exchange(m_isScheduled, true))
            return;
        boost::asio::post(*m_loop, [this, alive = m_alive] {
            if (*alive)
                handleQueued();
        });
    }

    /// Whether messages wait to be handled.
    bool hasMessages() const { return !m_messages.empty(); }

protected:
    EventLoop &loop() { return *m_loop; }

    /// Handles one message that arrived at \a now.
    virtual void handle(Message &&message, TimePoint now) = 0;

    /// Does the timed work that is due at \a now and returns the time of the next call.
    virtual TimePoint tick(TimePoint now) = 0;

    /// Called after each batch of messages and each tick(), for work that is done once per batch.
    virtual void onBatchHandled(TimePoint) {}

    /// Makes sure that tick() is called at \a time at the latest.
    void wakeBy(TimePoint time)
    {
        if (!m_wakeTime || time < *m_wakeTime)
            scheduleWake(time);
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

    void scheduleWake(TimePoint time)
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
