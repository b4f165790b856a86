#include "telemetry/logbuffer.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace sardinerun::telemetry {

namespace {

//! A pipe that is writable takes so many bytes without waiting.
constexpr std::size_t pieceBytes = PIPE_BUF;

} // namespace

void LogBuffer::append(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    if (m_bytes.size() + line.size() > maxBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped > m_droppedTold) {
        m_bytes += "{\"event\":\"log-lines-dropped\",\"count\":" + std::to_string(m_dropped - m_droppedTold) + "}\n";
        m_droppedTold = m_dropped;
    }
    m_bytes += line;
    if (m_bytes.size() >= pieceBytes)
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
    return m_dropped;
}

bool LogBuffer::isWritable() const
{
    pollfd it { m_fd, POLLOUT, 0 };
    return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

void LogBuffer::write()
{
    std::size_t sent = 0;
    while (sent < m_bytes.size() && isWritable()) {
        const ssize_t n = ::write(m_fd, m_bytes.data() + sent, std::min(pieceBytes, m_bytes.size() - sent));
        if (n <= 0)
            break; // nobody reads any more, or not now; what is left waits within its bound
        sent += static_cast<std::size_t>(n);
    }
    m_bytes.erase(0, sent);
}

} // namespace sardinerun::telemetry
