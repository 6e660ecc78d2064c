#include "telemetry/event_log.h"

#include <algorithm>
#include <cerrno>
#include <charconv>

#include <fcntl.h>
#include <unistd.h>

namespace buckthornford {

namespace {

/// Appends \a text as a JSON string; control characters and bytes beyond ASCII become '?'.
void appendJsonString(std::string_view text, std::string *out)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char firstNonAscii = 0x7f;
    out->push_back('"');
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
            out->append(1, '\\').append(1, c);
        else
            out->push_back(byte < firstPrintable || byte >= firstNonAscii ? '?' : c);
    }
    out->push_back('"');
}

/// Appends the value of a LogField in JSON.
struct ValueWriter
{
    std::string *out;

    void operator()(std::string_view text) const { appendJsonString(text, out); }
    void operator()(std::int64_t number) const { out->append(std::to_string(number)); }
    void operator()(double number) const { out->append(std::to_string(number)); }
    void operator()(bool flag) const { out->append(flag ? "true" : "false"); }
};

} // namespace

bool EventLog::TokenBucket::hasToken(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - refilledAt).count();
    tokens = std::min(perSecond, tokens + seconds * perSecond);
    refilledAt = now;
    return tokens >= 1.0;
}

EventLog::EventLog(Settings settings)
    : m_settings(settings)
    , m_problemBucket{settings.problemLinesPerSecond, settings.problemLinesPerSecond, {}}
    , m_routineBucket{settings.routineLinesPerSecond, settings.routineLinesPerSecond, {}}
{
    const int flags = fcntl(settings.descriptor, F_GETFL);
    if (flags >= 0)
        (void)fcntl(settings.descriptor, F_SETFL, flags | O_NONBLOCK); // Or flush() may block.
}

bool EventLog::tryAcquire(LogCategory category, TimePoint now)
{
    if (category == LogCategory::Process)
        return true;
    TokenBucket &bucket = category == LogCategory::Problem ? m_problemBucket : m_routineBucket;
    if (bucket.hasToken(now) && m_buffer.size() < m_settings.bufferBytes)
        return true;
    ++m_dropped;
    return false;
}

void EventLog::write(LogCategory category, std::string_view event,
                     std::initializer_list<LogField> fields, TimePoint now)
{
    if (category == LogCategory::Problem)
        m_problemBucket.tokens -= 1.0;
    else if (category == LogCategory::Routine)
        m_routineBucket.tokens -= 1.0;
    m_buffer += "{\"time_ms\":";
    m_buffer += std::to_string(now.time_since_epoch().count() / 1000);
    m_buffer += ",\"event\":";
    appendJsonString(event, &m_buffer);
    for (const LogField &field : fields) {
        m_buffer.append(",\"").append(field.name).append("\":");
        std::visit(ValueWriter{&m_buffer}, field.value);
    }
    if (m_reportedDropped != m_dropped)
        m_buffer += ",\"left_out\":" + std::to_string(m_dropped);
    m_reportedDropped = m_dropped;
    m_buffer += "}\n";
}

void EventLog::flush()
{
    if (m_buffer.empty())
        return;
    const ssize_t written = ::write(m_settings.descriptor, m_buffer.data(), m_buffer.size());
    const bool canRetry = written >= 0 || errno == EAGAIN || errno == EINTR;
    if (written > 0)
        m_buffer.erase(0, static_cast<std::size_t>(written));
    if (canRetry && m_buffer.size() <= m_settings.bufferBytes)
        return;
    // The descriptor's reader has stopped or is gone.
    m_dropped += static_cast<std::uint64_t>(std::count(m_buffer.begin(), m_buffer.end(), '\n'));
    m_buffer.clear();
}

} // namespace buckthornford
