#include "telemetry/event_log.h"

#include <algorithm>
#include <charconv>

#include <fcntl.h>
#include <unistd.h>

namespace buckthornford {

namespace {

void appendText(std::string_view text, std::string *out)
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

struct ValueWriter
{
    std::string *out;

    void operator()(std::string_view text) const { appendText(text, out); }
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
        (void)fcntl(settings.descriptor, F_SETFL, flags | O_NONBLOCK); // Else a write may block.
}

bool EventLog::tryAcquire(LogCategory kind, TimePoint now)
{
    if (kind == LogCategory::Process)
        return true;
    TokenBucket &allowance = kind == LogCategory::Problem ? m_problemBucket : m_routineBucket;
    if (allowance.hasToken(now) && m_buffer.size() < m_settings.bufferBytes)
        return true;
    ++m_dropped;
    return false;
}

void EventLog::write(LogCategory kind, std::string_view event,
                     std::initializer_list<LogField> fields, TimePoint now)
{
    if (kind == LogCategory::Problem)
        m_problemBucket.tokens -= 1.0;
    else if (kind == LogCategory::Routine)
        m_routineBucket.tokens -= 1.0;
    m_buffer += "{\"time_ms\":";
    m_buffer += std::to_string(now.time_since_epoch().count() / 1000);
    m_buffer += ",\"event\":";
    appendText(event, &m_buffer);
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
    if (written > 0)
        m_buffer.erase(0, static_cast<std::size_t>(written));
    if (m_buffer.size() <= m_settings.bufferBytes)
        return;
    m_buffer.clear(); // The reader has stopped; the lines are counted, not kept.
    ++m_dropped;
}

} // namespace buckthornford
