#include "telemetry/logbuffer.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace sardinerun::telemetry {

namespace {

//! A write of up to PIPE_BUF bytes to a pipe that polls as writable does not block.
constexpr std::size_t maxWriteBytes = PIPE_BUF;

} // namespace

void LogBuffer::append(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    if (m_pending.size() + line.size() > maxBytes) {
        ++m_droppedLines;
        return;
    }
    if (m_droppedLines > m_reportedDrops) {
        m_pending
            += "{\"event\":\"log-lines-dropped\",\"count\":" + std::to_string(m_droppedLines - m_reportedDrops) + "}\n";
        m_reportedDrops = m_droppedLines;
    }
    m_pending += line;
    if (m_pending.size() >= maxWriteBytes)
        write();
}

void LogBuffer::flush()
{
    const std::lock_guard lock(m_mutex);
    write();
}

std::uint64_t LogBuffer::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_droppedLines;
}

bool LogBuffer::isWritable() const
{
    pollfd it { m_fd, POLLOUT, 0 };
    return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

void LogBuffer::write()
{
    std::size_t sent = 0;
    while (sent < m_pending.size() && isWritable()) {
        const ssize_t n = ::write(m_fd, m_pending.data() + sent, std::min(maxWriteBytes, m_pending.size() - sent));
        if (n <= 0)
            break; // the reader has closed or accepts no more now; the rest stays in the buffer
        sent += static_cast<std::size_t>(n);
    }
    m_pending.erase(0, sent);
}

} // namespace sardinerun::telemetry
