#include "scheduling/reservation.h"

#include <algorithm>
#include <tuple>

namespace sardinerun::scheduling {

namespace {

//! Room for one task on a worker, with the time at which it becomes free.
struct Slot {
    core::Duration in {};
    bool isLastResort = false;
    std::size_t number = 0; //!< index among all slots; breaks ties
    const FutureWorker* worker = nullptr;

    bool operator<(const Slot& it) const
    {
        return std::tie(isLastResort, in, number) < std::tie(it.isLastResort, it.in, it.number);
    }
};

void addSlots(const Demand& demand, const FutureWorker& it, std::vector<Slot>& slots)
{
    std::int64_t maxSlots = slotsIn(it.now.capacity, demand.need);
    if (demand.maxPerWorker > 0)
        maxSlots = std::min<std::int64_t>(maxSlots, std::int64_t(demand.maxPerWorker) - it.now.tasksOfStep);
    core::Resources room = it.now.room;
    std::int64_t found = 0;
    const auto addSlotsUntil = [&](core::Duration in) {
        for (const std::int64_t limit = std::min(slotsIn(room, demand.need), maxSlots); found < limit; ++found)
            slots.push_back({ in, it.now.isLastResort, slots.size(), &it });
    };
    addSlotsUntil(core::Duration(0));
    for (const RoomEvent& event : it.events) {
        room = room + event.freed;
        addSlotsUntil(event.in);
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
        core::Resources& reserved = reservation.reserved[slots[n].worker->now.worker];
        reserved = reserved + demand.need;
        reservation.completeIn = std::max(reservation.completeIn, slots[n].in);
    }
    return reservation;
}

} // namespace sardinerun::scheduling
