#include "scheduling/reservation.h"

#include <algorithm>
#include <tuple>

namespace sardinerun::scheduling {

namespace {

//! Room for some tasks on a worker, with the time at which it becomes free.
struct Slots {
    core::Duration freeIn {};
    bool isLastResort = false;
    std::size_t number = 0; //!< index among all slots; breaks ties
    std::int64_t count = 0;
    const FutureWorker* worker = nullptr;

    auto sortKey() const { return std::tie(isLastResort, freeIn, number); }
};

//! Adds an entry for each time at which room becomes free, not one for each task: a task may need so little that any
//! number of them fits on a worker.
void addSlots(const Demand& demand, const FutureWorker& it, std::vector<Slots>& slots)
{
    std::int64_t maxSlots = std::min<std::int64_t>(slotsIn(it.candidate.capacity, demand.need), demand.count);
    if (demand.maxPerWorker > 0)
        maxSlots = std::min<std::int64_t>(maxSlots, std::int64_t(demand.maxPerWorker) - it.candidate.tasksOfStep);
    core::Resources room = it.candidate.room;
    std::int64_t found = 0;
    const auto addSlotsUntil = [&](core::Duration freeIn) {
        const std::int64_t limit = std::min(slotsIn(room, demand.need), maxSlots);
        if (limit <= found)
            return;
        slots.push_back({ freeIn, it.candidate.isLastResort, slots.size(), limit - found, &it });
        found = limit;
    };
    addSlotsUntil(core::Duration(0));
    for (const RoomEvent& event : it.events) {
        room = room + event.freed;
        addSlotsUntil(event.freeIn);
    }
}

} // namespace

std::optional<Reservation> reserve(const Demand& demand, const std::vector<FutureWorker>& workers)
{
    std::vector<Slots> slots;
    for (const FutureWorker& it : workers)
        addSlots(demand, it, slots);
    std::sort(slots.begin(), slots.end(), [](const Slots& a, const Slots& b) { return a.sortKey() < b.sortKey(); });
    Reservation reservation;
    std::int64_t missing = demand.count;
    for (const Slots& it : slots) {
        if (missing <= 0)
            break;
        const std::int64_t used = std::min(it.count, missing);
        core::Resources& reserved = reservation.reserved[it.worker->candidate.worker];
        reserved = reserved + demand.need * used;
        reservation.completeIn = std::max(reservation.completeIn, it.freeIn);
        missing -= used;
    }
    if (missing > 0)
        return std::nullopt;
    return reservation;
}

} // namespace sardinerun::scheduling
