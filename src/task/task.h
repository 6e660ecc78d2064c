#pragma once

/// Threads that own their state and communicate by messages.

#include "core/core.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace buckthornford {

/// Queue of messages for one task. Any thread may post; the reading thread sleeps while the queue
/// is empty.
template <class Message>
class Mailbox
{
public:
    /// Appends \a message. A closed mailbox discards it.
    void post(Message message)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed)
                return;
            m_messages.push_back(std::move(message));
        }
        m_arrived.notify_one();
    }

    /// Waits until there is a message, \a deadline has passed or the mailbox is closed, then
    /// removes and returns all queued messages.
    std::deque<Message> takeUntil(TimePoint deadline)
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait_until(lock, deadline, [this] { return m_closed || !m_messages.empty(); });
        return std::exchange(m_messages, {});
    }

    /// Wakes the reader and discards messages that are posted from now on.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_arrived.notify_all();
    }

    bool isClosed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<Message> m_messages;
    bool m_closed = false;
};

/// A thread that handles the messages of one mailbox. The derived class's state is used on that
/// thread alone. The derived class must call stop() in its destructor, so that the thread ends
/// before that state is destroyed.
template <class Message>
class Task
{
public:
    Task() = default;
    Task(const Task &) = delete;
    Task &operator=(const Task &) = delete;
    virtual ~Task() { stop(); }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    void post(Message message) { m_mailbox.post(std::move(message)); }

    /// Closes the mailbox and waits for the thread to end. The thread still handles the messages
    /// that it has already taken. May be called more than once.
    void stop()
    {
        m_mailbox.close();
        if (m_thread.joinable())
            m_thread.join();
    }

protected:
    /// Handles one message, which was taken from the mailbox at \a now.
    virtual void handle(Message &&message, TimePoint now) = 0;

    /// Does the timed work that is due at \a now. Returns the time of the next call; the task also
    /// calls it after each batch of messages.
    virtual TimePoint tick(TimePoint now) = 0;

private:
    void run()
    {
        TimePoint nextTick = tick(monotonicNow());
        while (!m_mailbox.isClosed()) {
            auto messages = m_mailbox.takeUntil(nextTick);
            const TimePoint now = monotonicNow();
            for (Message &message : messages)
                handle(std::move(message), now);
            nextTick = tick(now);
        }
    }

    Mailbox<Message> m_mailbox;
    std::thread m_thread;
};

/// Holds one message for a thread that waits for it, such as the result of a caller's request.
template <class Message>
class ReplySlot
{
public:
    /// Stores \a message and wakes the waiting thread. Ignored if a message is already held.
    void post(Message message)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_message)
                return;
            m_message = std::move(message);
        }
        m_arrived.notify_one();
    }

    /// Removes and returns the message. Returns nothing if none arrives within \a timeout.
    std::optional<Message> takeWithin(Duration timeout)
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait_for(lock, timeout, [this] { return m_message.has_value(); });
        return std::exchange(m_message, std::nullopt);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::optional<Message> m_message;
};

} // namespace buckthornford
