#pragma once

/// Tasks that own their state and talk by messages.

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

/// A queue of messages from any thread to one task. The reader sleeps while it is empty.
template <class Message>
class Mailbox
{
public:
    /// Appends \a message; ignored once the mailbox is closed.
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

    /// Waits until a message is there, \a deadline has passed or the mailbox is closed, and
    /// returns all messages that are there.
    std::deque<Message> takeUntil(TimePoint deadline)
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait_until(lock, deadline, [this] { return m_closed || !m_messages.empty(); });
        return std::exchange(m_messages, {});
    }

    /// Makes the reader return and refuses further messages.
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

/// A thread with a mailbox. Derived classes own their state; nothing else touches it.
/// A derived class calls stop() in its destructor.
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

    /// Ends the task after the message in hand; idempotent.
    void stop()
    {
        m_mailbox.close();
        if (m_thread.joinable())
            m_thread.join();
    }

protected:
    /// Handles one message that arrived at \a now.
    virtual void handle(Message &&message, TimePoint now) = 0;

    /// Does what is due at \a now and returns when to be called next.
    virtual TimePoint tick(TimePoint now) = 0;

private:
    void run()
    {
        TimePoint wake = tick(monotonicNow());
        while (!m_mailbox.isClosed()) {
            auto messages = m_mailbox.takeUntil(wake);
            const TimePoint now = monotonicNow();
            for (Message &message : messages)
                handle(std::move(message), now);
            wake = tick(now);
        }
    }

    Mailbox<Message> m_mailbox;
    std::thread m_thread;
};

/// A place for one message that a waiting thread picks up, such as a caller's answer.
template <class Message>
class ReplySlot
{
public:
    /// Stores \a message; later ones are ignored.
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

    /// Waits for \a timeout at most.
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
