#include "http/internal/connectiontable.h"

#include "http/internal/bufferbytes.h"

#include <algorithm>
#include <cstring>
#include <sys/socket.h>

namespace sardinerun::http {

namespace {

//! Time between two looks at the connections. A loop reads and copies at most about 2 GB/s, so the next look may wait
//! until a crowd could have filled what is free below the limit.
constexpr core::Duration minSweepInterval = std::chrono::milliseconds(2);
constexpr core::Duration maxSweepInterval = std::chrono::milliseconds(30);
constexpr std::size_t bytesReadInMicrosecond = 2048;

std::size_t inputBytesOf(const Connection& it)
{
    return it.socket ? inputBytes(it.socket->input) : 0;
}

} // namespace

void ConnectionTable::allowBody(std::size_t maxBodyBytes)
{
    ConnectionLimits limits = m_policy.limits();
    limits.unfinishedBytes = std::max(limits.unfinishedBytes, bufferBytesFor(limits.headBytes, maxBodyBytes));
    m_policy = OverloadPolicy(limits);
}

bool ConnectionTable::add(h2o_socket_t* socket)
{
    if (m_connections.size() - m_closing >= m_policy.limits().connections) {
        const auto connections = open();
        const auto chosen = m_policy.makeRoom(viewsOf(connections), m_loop->now());
        if (!chosen) {
            ++m_usage.closed.at(std::size_t(CloseReason::ConnectionLimit));
            return false;
        }
        close(*connections[*chosen], CloseReason::ConnectionLimit);
    }
    auto it = std::make_shared<Connection>();
    it->socket = socket;
    it->table = this;
    it->since = m_loop->now();
    socket->on_close.cb = onSocketClosed;
    socket->on_close.data = it.get();
    m_connections.emplace(socket, std::move(it));
    return true;
}

ConnectionPtr ConnectionTable::find(h2o_socket_t* socket) const
{
    const auto it = m_connections.find(socket);
    return it == m_connections.end() ? nullptr : it->second;
}

bool ConnectionTable::admit(Connection& connection, std::size_t requestBytes)
{
    if (connection.isClosing)
        return false;
    if (!m_policy.admits(requestBytes, m_usage.servedBytes))
        sweep(); // requests may have ended since the last one
    const bool isAdmitted = m_policy.admits(requestBytes, m_usage.servedBytes);
    m_usage.servedBytes += isAdmitted ? requestBytes : 0;
    return isAdmitted;
}

//! Turns that follow a look within the interval are not looked at. What arrived in them is less than the interval
//! allows, and nothing more arrives without another turn. A timer for it would wake a loop at rest all the time.
void ConnectionTable::onTurn()
{
    if (!m_connections.empty() && m_loop->now() - m_sweptAt >= sweepInterval())
        sweep();
}

core::Duration ConnectionTable::sweepInterval() const
{
    const std::size_t limit = m_policy.limits().unfinishedBytes;
    const std::size_t free = limit - std::min(limit, m_usage.unfinishedBytes);
    const std::chrono::microseconds fillTime(free / bytesReadInMicrosecond);
    return std::clamp<core::Duration>(fillTime, minSweepInterval, maxSweepInterval);
}

ConnectionUsage ConnectionTable::usage()
{
    sweep(); // the figures of the last look may be of another time
    ConnectionUsage usage = m_usage;
    usage.connections = m_connections.size();
    return usage;
}

void ConnectionTable::onSocketClosed(void* data)
{
    auto* connection = static_cast<Connection*>(data);
    h2o_socket_t* socket = std::exchange(connection->socket, nullptr);
    ConnectionTable& table = *connection->table;
    table.m_closing -= connection->isClosing ? 1 : 0;
    table.m_connections.erase(socket);
}

ConnectionView ConnectionTable::viewOf(const Connection& it, std::size_t index) const
{
    using Phase = ConnectionView::Phase;
    ConnectionView view;
    view.index = index;
    view.heldBytes = inputBytesOf(it) + it.servedBytes + it.http2.servedBytes + it.http2.unfinishedBytes;
    view.unfinishedBytes = it.inProgress > 0 ? it.http2.unfinishedBytes : 0;
    view.since = it.since;
    view.hasServed = it.hasServed;
    if (it.inProgress > 0)
        view.phase = it.sending == it.inProgress ? Phase::Sending : Phase::Serving;
    else
        view.phase = inputBytesOf(it) + it.http2.unfinishedBytes > 0 ? Phase::Receiving : Phase::Idle;
    return view;
}

std::vector<ConnectionPtr> ConnectionTable::open() const
{
    std::vector<ConnectionPtr> result;
    result.reserve(m_connections.size());
    for (const auto& [socket, it] : m_connections)
        if (!it->isClosing)
            result.push_back(it);
    return result;
}

std::vector<ConnectionView> ConnectionTable::viewsOf(const std::vector<ConnectionPtr>& connections) const
{
    std::vector<ConnectionView> views;
    views.reserve(connections.size());
    for (const ConnectionPtr& it : connections)
        views.push_back(viewOf(*it, views.size()));
    return views;
}

bool ConnectionTable::isHeadTooLong(Connection& it) const
{
    const std::size_t limit = m_policy.limits().headBytes;
    const h2o_buffer_t* input = it.socket->input;
    if (it.hasHead || it.inProgress > 0 || !input || input->size <= limit)
        return false;
    it.hasHead = memmem(input->bytes, limit, "\r\n\r\n", 4) != nullptr;
    return !it.hasHead;
}

void ConnectionTable::lookAtHttp2()
{
    for (const h2o_context_t* context : m_contexts) {
        forEachHttp2Connection(*context, [this](h2o_socket_t* socket, const Http2Usage& usage) {
            if (const ConnectionPtr it = find(socket))
                it->http2 = usage;
        });
    }
}

void ConnectionTable::sweep()
{
    m_sweptAt = m_loop->now();
    m_usage.unfinishedBytes = 0;
    m_usage.servedBytes = 0;
    lookAtHttp2();
    for (const auto& [socket, it] : m_connections) {
        if (it->isClosing)
            continue;
        if (isHeadTooLong(*it)) {
            close(*it, CloseReason::HeadTooLong);
            continue;
        }
        const ConnectionView view = viewOf(*it, 0);
        m_usage.unfinishedBytes += unfinishedBytesOf(view);
        m_usage.servedBytes += view.heldBytes - unfinishedBytesOf(view);
    }
    if (!m_policy.isUnderPressure(m_usage.unfinishedBytes, m_usage.servedBytes))
        return;
    const auto connections = open();
    for (const Closing& it : m_policy.relieve(viewsOf(connections), m_sweptAt))
        close(*connections[it.index], it.reason);
}

//! Makes h2o see the end of the connection in the next turn and release its buffers. Bytes that arrive until then may
//! complete a request, which `admit` rejects.
void ConnectionTable::close(Connection& it, CloseReason reason)
{
    it.isClosing = true;
    ++m_closing;
    ++m_usage.closed.at(std::size_t(reason));
    // Without lingering, the kernel discards bytes that were not sent instead of keeping them until the peer reads.
    const linger none { 1, 0 };
    const int fd = h2o_socket_get_fd(it.socket);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    shutdown(fd, SHUT_RDWR);
}

ConnectionTablePtr createConnectionTable(const runtime::EventLoopPtr& loop, const ConnectionLimits& limits)
{
    auto table = std::make_shared<ConnectionTable>(loop, limits);
    loop->observeTurns(table);
    return table;
}

ConnectionUsage usageOf(ConnectionTable& table)
{
    return table.usage();
}

} // namespace sardinerun::http
