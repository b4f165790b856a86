#include "scheduling/roomhold.h"

#include <algorithm>
#include <utility>

namespace sardinerun::scheduling {

namespace {

//! While most of the fleet is free, work that fits must start within three seconds.
constexpr core::Duration longestHoldBesideFreeRoom = std::chrono::milliseconds(2000);
//! In a busy fleet it takes longer until enough tasks have ended for a gang.
constexpr core::Duration longestHoldInBusyFleet = std::chrono::seconds(8);
//! Long enough for several rounds, so that all work that fits has its turn.
constexpr core::Duration pauseAfterHold = std::chrono::milliseconds(400);

core::Duration longestHold(const HoldRequest& request)
{
    // A gang may keep a busy fleet waiting about as long as it then uses it.
    return request.isFleetMostlyFree ? longestHoldBesideFreeRoom : std::max(longestHoldInBusyFleet, request.estimate);
}

} // namespace

void RoomHold::beginRound()
{
    if (!std::exchange(m_isIdle, false))
        m_idleSince.reset();
}

bool RoomHold::tryHold(core::TimePoint now, const HoldRequest& request)
{
    if (isPaused(now))
        return false;
    if (!request.keepsRoomIdle)
        return true;
    if (!m_idleSince)
        m_idleSince = now;
    if (now - *m_idleSince >= longestHold(request)) {
        m_idleSince.reset();
        m_isIdle = false;
        m_pausedUntil = now + pauseAfterHold;
        return false;
    }
    m_isIdle = true;
    return true;
}

} // namespace sardinerun::scheduling
