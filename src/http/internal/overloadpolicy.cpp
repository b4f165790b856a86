#include "http/internal/overloadpolicy.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace sardinerun::http {

namespace {

using Phase = ConnectionView::Phase;

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t minConnections = 16;
constexpr std::size_t minRequestBytes = 64 * kibibyte;
constexpr std::size_t readBytes = 4 * kibibyte; //!< that h2o has free before it reads
//! A connection and its request in h2o, with the buffer of a short request.
constexpr std::size_t h2oBytes = 12 * kibibyte;
//! The state of a connection in OpenSSL, and a buffer for a record in each direction.
constexpr std::size_t opensslBytes = 56 * kibibyte;

struct ListenerTraits {
    std::size_t receiveBufferBytes;
    std::size_t otherBytes;
};

// indexed by ListenerKind
constexpr std::array<ListenerTraits, 3> listenerTraits { { { 16 * kibibyte, h2oBytes },
    { 16 * kibibyte, h2oBytes + opensslBytes }, { 8 * kibibyte, h2oBytes } } };

std::size_t lowMark(std::size_t limit)
{
    return limit - limit / 8;
}

//! Closes the largest of these connections until at most `lowMark(limit)` bytes are held, and keeps `kept` of them.
//! Returns the bytes that are held then.
std::size_t closeLargest(std::vector<ConnectionView> candidates, std::size_t held, std::size_t limit, std::size_t kept,
    CloseReason reason, std::vector<Closing>& to)
{
    if (held <= limit)
        return held;
    std::sort(candidates.begin(), candidates.end(), [](const ConnectionView& a, const ConnectionView& b) {
        return std::tie(b.heldBytes, a.since) < std::tie(a.heldBytes, b.since);
    });
    for (std::size_t n = 0; n + kept < candidates.size() && held > lowMark(limit); ++n) {
        held -= std::min(held, candidates[n].heldBytes);
        to.push_back({ candidates[n].index, reason });
    }
    return held;
}

} // namespace

const char* nameOf(CloseReason it)
{
    static constexpr std::array<const char*, closeReasons> names { "head-too-long", "unfinished-bytes",
        "stalled-answer", "connection-limit" };
    return names.at(std::size_t(it));
}

int receiveBufferBytesOf(ListenerKind kind)
{
    return int(listenerTraits.at(std::size_t(kind)).receiveBufferBytes);
}

std::size_t bytesOfConnection(ListenerKind kind)
{
    const ListenerTraits& it = listenerTraits.at(std::size_t(kind));
    return 2 * it.receiveBufferBytes + it.otherBytes;
}

ConnectionLimits connectionLimitsFor(const ListenerShare& share)
{
    ConnectionLimits limits;
    limits.kind = share.kind;
    limits.unfinishedBytes = std::max(share.unfinishedBytes, minRequestBytes);
    limits.servedBytes = std::max(share.servedBytes, minRequestBytes);
    limits.connections
        = std::max(std::min(share.connectionBytes / bytesOfConnection(share.kind), share.descriptors), minConnections);
    return limits;
}

//! h2o's buffers double when less than one read fits.
std::size_t bufferBytesFor(std::size_t headBytes, std::size_t bodyBytes)
{
    return std::bit_ceil(headBytes + bodyBytes + readBytes);
}

std::size_t unfinishedBytesOf(const ConnectionView& it)
{
    return it.phase == Phase::Receiving ? it.heldBytes : it.unfinishedBytes;
}

bool OverloadPolicy::isUnderPressure(std::size_t unfinishedBytes, std::size_t servedBytes) const
{
    return unfinishedBytes > m_limits.unfinishedBytes || servedBytes > m_limits.servedBytes;
}

std::vector<Closing> OverloadPolicy::relieve(const std::vector<ConnectionView>& views, core::TimePoint now) const
{
    std::vector<ConnectionView> unfinished;
    std::vector<ConnectionView> multiplexed; // with requests in progress, too
    std::vector<ConnectionView> stalled;
    std::size_t unfinishedBytes = 0;
    std::size_t servedBytes = 0;
    for (const ConnectionView& it : views) {
        unfinishedBytes += unfinishedBytesOf(it);
        servedBytes += it.heldBytes - unfinishedBytesOf(it);
        if (it.phase == Phase::Receiving) {
            unfinished.push_back(it);
        } else if (it.unfinishedBytes > 0) {
            multiplexed.push_back(it);
            multiplexed.back().heldBytes = it.unfinishedBytes;
        } else if (it.phase == Phase::Sending && now - it.since >= m_limits.stallTime) {
            stalled.push_back(it);
        }
    }
    std::vector<Closing> result;
    const std::size_t limit = m_limits.unfinishedBytes;
    const std::size_t left
        = closeLargest(std::move(unfinished), unfinishedBytes, limit, 1, CloseReason::UnfinishedBytes, result);
    closeLargest(std::move(multiplexed), left, limit, 0, CloseReason::UnfinishedBytes, result);
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
