#include "scheduling/reservation.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

//! One task's worth of room on a worker, and when it is there.
struct Place {
    core::Duration in {};
    bool isLastChoice = false;
    const FutureWorker* worker = nullptr;
};

void addPlaces(const Demand& demand, const FutureWorker& it, std::vector<Place>& places)
{
    std::vector<RoomEvent> events = it.events;
    std::sort(events.begin(), events.end(), [](const RoomEvent& a, const RoomEvent& b) { return a.in < b.in; });
    std::int64_t most = slotsIn(it.now.capacity, demand.need);
    if (demand.maxPerWorker > 0)
        most = std::min<std::int64_t>(most, std::int64_t(demand.maxPerWorker) - it.now.ofStep);
    core::Resources room = it.now.room;
    std::int64_t found = 0;
    const auto take = [&](core::Duration in) {
        for (const std::int64_t slots = std::min(slotsIn(room, demand.need), most); found < slots; ++found)
            places.push_back({ in, it.now.isLastChoice, &it });
    };
    take(core::Duration(0));
    for (const RoomEvent& event : events) {
        room = room + event.freed;
        take(event.in);
    }
}

} // namespace

std::optional<Reservation> reserve(const Demand& demand, const std::vector<FutureWorker>& workers)
{
    std::vector<Place> places;
    for (const FutureWorker& it : workers)
        addPlaces(demand, it, places);
    if (places.size() < demand.count)
        return std::nullopt;
    std::stable_sort(places.begin(), places.end(),
        [](const Place& a, const Place& b) { return a.isLastChoice != b.isLastChoice ? b.isLastChoice : a.in < b.in; });
    Reservation reservation;
    for (std::size_t n = 0; n < demand.count; ++n) {
        core::Resources& kept = reservation.kept[places[n].worker->now.worker];
        kept = kept + demand.need;
        reservation.completeIn = std::max(reservation.completeIn, places[n].in);
    }
    return reservation;
}

} // namespace sardinerun::scheduling
