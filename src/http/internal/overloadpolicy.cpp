#include "http/internal/overloadpolicy.h"

#include <algorithm>
#include <tuple>

namespace sardinerun::http {

namespace {

using Phase = ConnectionView::Phase;

constexpr std::size_t mebibyte = std::size_t(1) << 20;
//! Memory of one connection: its receive buffer in the kernel (32 KiB), its buffers in h2o and its send buffer.
constexpr std::size_t connectionBytes = std::size_t(48) << 10;
constexpr std::size_t minConnections = 16;

std::size_t lowMark(std::size_t limit)
{
    return limit - limit / 8;
}

//! Closes the largest of these connections until at most `lowMark(limit)` bytes are held, and keeps `kept` of them.
void closeLargest(std::vector<ConnectionView> candidates, std::size_t held, std::size_t limit, std::size_t kept,
    CloseReason reason, std::vector<Closing>& to)
{
    if (held <= limit)
        return;
    std::sort(candidates.begin(), candidates.end(), [](const ConnectionView& a, const ConnectionView& b) {
        return std::tie(b.heldBytes, a.since) < std::tie(a.heldBytes, b.since);
    });
    for (std::size_t n = 0; n + kept < candidates.size() && held > lowMark(limit); ++n) {
        held -= std::min(held, candidates[n].heldBytes);
        to.push_back({ candidates[n].index, reason });
    }
}

} // namespace

const char* nameOf(CloseReason it)
{
    static constexpr std::array<const char*, closeReasons> names { "head-too-long", "unfinished-bytes",
        "stalled-answer", "connection-limit" };
    return names.at(std::size_t(it));
}

ConnectionLimits connectionLimitsFor(std::size_t memoryBytes, std::size_t descriptors, std::size_t tables)
{
    ConnectionLimits limits;
    limits.unfinishedBytes = std::max(memoryBytes / 8 / tables, mebibyte);
    limits.servedBytes = limits.unfinishedBytes;
    // A quarter of the memory, and a quarter of the descriptors: the leader needs most of them for its workers.
    limits.connections
        = std::max(std::min(memoryBytes / 4 / connectionBytes, descriptors / 4) / tables, minConnections);
    return limits;
}

bool OverloadPolicy::isUnderPressure(std::size_t unfinishedBytes, std::size_t servedBytes) const
{
    return unfinishedBytes > m_limits.unfinishedBytes || servedBytes > m_limits.servedBytes;
}

std::vector<Closing> OverloadPolicy::relieve(const std::vector<ConnectionView>& views, core::TimePoint now) const
{
    std::vector<ConnectionView> unfinished;
    std::vector<ConnectionView> stalled;
    std::size_t unfinishedBytes = 0;
    std::size_t servedBytes = 0;
    for (const ConnectionView& it : views) {
        const bool isServed = it.phase == Phase::Serving || it.phase == Phase::Sending;
        (isServed ? servedBytes : unfinishedBytes) += it.heldBytes;
        if (it.phase == Phase::Receiving)
            unfinished.push_back(it);
        else if (it.phase == Phase::Sending && now - it.since >= m_limits.stallTime)
            stalled.push_back(it);
    }
    std::vector<Closing> result;
    closeLargest(
        std::move(unfinished), unfinishedBytes, m_limits.unfinishedBytes, 1, CloseReason::UnfinishedBytes, result);
    closeLargest(std::move(stalled), servedBytes, m_limits.servedBytes, 0, CloseReason::StalledAnswer, result);
    return result;
}

std::optional<std::size_t> OverloadPolicy::makeRoom(const std::vector<ConnectionView>& views, core::TimePoint now) const
{
    const ConnectionView* best = nullptr;
    const auto rank = [this, now](const ConnectionView& it) {
        const bool isUnused = it.phase == Phase::Idle && !it.hasServed && now - it.since >= m_limits.graceTime;
        return isUnused ? 0 : 1;
    };
    for (const ConnectionView& it : views) {
        const bool mayClose = it.phase == Phase::Idle || it.phase == Phase::Receiving
            || (it.phase == Phase::Sending && now - it.since >= m_limits.stallTime);
        if (mayClose && (!best || std::pair(rank(it), it.since) < std::pair(rank(*best), best->since)))
            best = &it;
    }
    return best ? std::optional(best->index) : std::nullopt;
}

bool OverloadPolicy::admits(std::size_t requestBytes, std::size_t servedBytes) const
{
    return servedBytes == 0 || servedBytes + requestBytes <= m_limits.servedBytes;
}

} // namespace sardinerun::http
