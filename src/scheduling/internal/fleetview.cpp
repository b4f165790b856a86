#include "scheduling/internal/fleetview.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

double coresOf(const core::Resources& it)
{
    return double(it.cpu.value()) / 1000;
}

} // namespace

void FleetView::add(const Worker& worker, bool isSlow, estimation::LogSpeed speed)
{
    const core::Resources room = worker.freeRoom();
    m_cores += coresOf(worker.entry().capacity);
    m_freeCores += coresOf(room);
    m_usedCores += coresOf(worker.entry().capacity) - coresOf(room);
    m_maxRoom.cpu = std::max(m_maxRoom.cpu, room.cpu);
    m_maxRoom.memory = std::max(m_maxRoom.memory, room.memory);
    m_maxRoom.accelerators = std::max(m_maxRoom.accelerators, room.accelerators);
    m_workers.push_back({ &worker, isSlow, speed, worker.entry().capacity, room, {}, std::nullopt });
}

UsableWorker* FleetView::find(const core::VmId& id)
{
    const auto it = std::lower_bound(m_workers.begin(), m_workers.end(), id,
        [](const UsableWorker& usable, const core::VmId& id) { return usable.worker->id() < id; });
    return it == m_workers.end() || it->worker->id() != id ? nullptr : &*it;
}

void FleetView::onTaskStarted(const core::VmId& worker, const core::Resources& room)
{
    m_freeCores -= coresOf(room);
    m_usedCores += coresOf(room);
    if (UsableWorker* it = find(worker))
        it->room = it->room - room;
}

bool FleetView::hasFreeRoomIn(const Reservation& reservation)
{
    return std::any_of(reservation.reserved.begin(), reservation.reserved.end(), [this](const auto& it) {
        const UsableWorker* usable = find(it.first);
        const bool needsCpu = it.second.cpu.value() > 0;
        return usable && (!needsCpu || usable->room.cpu.value() > 0);
    });
}

void FleetView::addReservation(const Reservation& reservation, bool isLate)
{
    ++(isLate ? m_lateReservingGangs : m_reservingGangs);
    for (const auto& [id, room] : reservation.reserved) {
        UsableWorker* it = find(id);
        if (!it)
            continue;
        it->reserved = it->reserved + room;
        // The headroom of a round already includes the gangs in time.
        if (isLate)
            m_freeCores -= coresOf({ std::min(room.cpu, it->room.cpu), {}, {} });
    }
}

} // namespace sardinerun::scheduling
