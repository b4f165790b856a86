#include "scheduling/reservation.h"

#include <algorithm>
#include <tuple>

namespace sardinerun::scheduling {

namespace {

//! Room for one task on a worker, with the time at which it becomes free.
struct Slot {
    core::Duration freeIn {};
    bool isLastResort = false;
    std::size_t number = 0; //!< index among all slots; breaks ties
    const FutureWorker* worker = nullptr;

    bool operator<(const Slot& it) const
    {
        return std::tie(isLastResort, freeIn, number) < std::tie(it.isLastResort, it.freeIn, it.number);
    }
};

void addSlots(const Demand& demand, const FutureWorker& it, std::vector<Slot>& slots)
{
    std::int64_t maxSlots = slotsIn(it.candidate.capacity, demand.need);
    if (demand.maxPerWorker > 0)
        maxSlots = std::min<std::int64_t>(maxSlots, std::int64_t(demand.maxPerWorker) - it.candidate.tasksOfStep);
    core::Resources room = it.candidate.room;
    std::int64_t found = 0;
    const auto addSlotsUntil = [&](core::Duration freeIn) {
        for (const std::int64_t limit = std::min(slotsIn(room, demand.need), maxSlots); found < limit; ++found)
            slots.push_back({ freeIn, it.candidate.isLastResort, slots.size(), &it });
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
    std::vector<Slot> slots;
    for (const FutureWorker& it : workers)
        addSlots(demand, it, slots);
    if (slots.size() < demand.count)
        return std::nullopt;
    std::partial_sort(slots.begin(), slots.begin() + demand.count, slots.end());
    Reservation reservation;
    for (std::size_t n = 0; n < demand.count; ++n) {
        core::Resources& reserved = reservation.reserved[slots[n].worker->candidate.worker];
        reserved = reserved + demand.need;
        reservation.completeIn = std::max(reservation.completeIn, slots[n].freeIn);
    }
    return reservation;
}

} // namespace sardinerun::scheduling
