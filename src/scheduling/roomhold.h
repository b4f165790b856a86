#pragma once

#include "core/types.h"

#include <optional>

namespace sardinerun::scheduling {

//! Room that a gang would keep free until it can start as a whole.
struct HoldRequest {
    core::Duration estimate {}; //!< of the gang's tasks
    bool keepsRoomIdle = false; //!< some of the room is free already
    bool isFleetMostlyFree = false; //!< less than half of the fleet is in use
};

//! Bounds how long the gangs of a service keep room idle until one of them can start as a whole.
//!
//! What a gang waits for may take longer than expected or never happen, and other work must not wait for that. After
//! the longest hold the room is free for all for a short time, so work that fits starts, and gangs may hold room again.
class RoomHold {
public:
    void beginRound(); //!< must be called at the beginning of each scheduling round
    bool isPaused(core::TimePoint now) const { return now < m_pausedUntil; }
    //! Returns whether a gang may hold room in this round.
    bool tryHold(core::TimePoint now, const HoldRequest& request);

private:
    std::optional<core::TimePoint> m_idleSince; //!< since then room was kept idle in each round
    core::TimePoint m_pausedUntil {};
    bool m_isIdle = false; //!< room is kept idle in this round
};

} // namespace sardinerun::scheduling
