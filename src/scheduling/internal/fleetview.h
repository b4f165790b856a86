#pragma once

#include "scheduling/internal/worker.h"
#include "scheduling/reservation.h"

#include <optional>
#include <vector>

namespace sardinerun::scheduling {

//! A worker that accepts starts in this round.
struct UsableWorker {
    const Worker* worker = nullptr;
    bool isSlow = false;
    estimation::LogSpeed speed;
    core::Resources capacity;
    core::Resources room; //!< free room; a copy, as a round looks at all workers many times and they lie apart
    core::Resources reserved; //!< for gangs, in this round
    std::optional<std::vector<RoomEvent>> events; //!< earliest first; computed on first use
};

//! The workers of one service in one scheduling round. Each round evaluates them once per step, so values that are
//! needed often are cached.
class FleetView {
public:
    //! Adds a worker; they have to be added in the order of their ids.
    void add(const Worker& worker, bool isSlow, estimation::LogSpeed speed);
    //! Returns null if the worker accepts no starts.
    UsableWorker* find(const core::VmId& id);
    std::vector<UsableWorker>& workers() { return m_workers; }

    double cores() const { return m_cores; }
    double freeCores() const { return m_freeCores; }
    //! Returns whether less than half of the fleet is in use.
    bool isMostlyFree() const { return m_usedCores * 2 < m_cores; }
    std::size_t reservingGangs(bool areLate) const { return areLate ? m_lateReservingGangs : m_reservingGangs; }
    //! Returns the component-wise maximum of the free room at the start of the round.
    const core::Resources& maxRoom() const { return m_maxRoom; }

    void onTaskStarted(const core::VmId& worker, const core::Resources& room);
    //! Returns whether some of the room to be reserved is free now.
    bool hasFreeRoomIn(const Reservation& reservation);
    //! Reserves room for a gang until the round ends.
    void addReservation(const Reservation& reservation, bool isLate);

private:
    std::vector<UsableWorker> m_workers; //!< sorted by id
    double m_cores = 0;
    double m_freeCores = 0;
    double m_usedCores = 0;
    std::size_t m_reservingGangs = 0; //!< gangs in time with a reservation
    std::size_t m_lateReservingGangs = 0;
    core::Resources m_maxRoom;
};

} // namespace sardinerun::scheduling
