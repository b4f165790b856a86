#pragma once

#include "partition/internal/capacity.h"
#include "partition/internal/claimhandler.h"
#include "partition/internal/home.h"
#include "partition/partition.h"

namespace sardinerun::partition {

//! The parts of a partition, the table of its message handlers, and the delivery of messages between the parts.
struct Partition::State {
    State(Ownership it, PartitionTimes all)
        : ownership(std::move(it))
        , times(all)
        , log(ownership.id, ownership.fence, times.log)
        , home(ownership.id, ownership.epoch, ownership.partitionCount, times, log)
        , capacity(ownership.id, ownership.epoch, ownership.partitionCount, times)
        , claims(times, log)
    {
    }

    using Handler = void (State::*)(const protocol::Message&, EventTime);
    static Handler handlerOf(const protocol::Message& message);

    void onSubmit(const protocol::Message& it, EventTime at)
    {
        home.onSubmit(std::get<protocol::SubmitJob>(it), at, effects);
    }
    void onCancel(const protocol::Message& it, EventTime at)
    {
        home.onCancel(std::get<protocol::CancelJobs>(it), at, effects);
    }
    void onRead(const protocol::Message& it, EventTime at)
    {
        home.onRead(std::get<protocol::ReadJobs>(it), at, effects);
    }
    void onPlaceAnswer(const protocol::Message& it, EventTime at)
    {
        home.onPlaceAnswer(std::get<protocol::PlaceAnswer>(it), at, effects);
    }
    void onCommitAnswer(const protocol::Message& it, EventTime at)
    {
        home.onCommitAnswer(std::get<protocol::CommitAnswer>(it), at, effects);
    }
    void onAttemptEnded(const protocol::Message& it, EventTime at)
    {
        home.onAttemptEnded(std::get<protocol::AttemptEnded>(it), at, effects);
    }
    void onInventory(const protocol::Message& it, EventTime at)
    {
        home.onInventory(std::get<protocol::Inventory>(it), at, effects);
    }
    void onHint(const protocol::Message& it, EventTime at) { home.onHint(std::get<protocol::RoomHint>(it), at.now); }
    void onPlace(const protocol::Message& it, EventTime at)
    {
        capacity.onPlace(std::get<protocol::PlaceTasks>(it), at, effects);
    }
    void onCommit(const protocol::Message& it, EventTime at)
    {
        capacity.onCommit(std::get<protocol::CommitReservation>(it), at, effects);
    }
    void onRelease(const protocol::Message& it, EventTime)
    {
        capacity.onRelease(std::get<protocol::ReleaseReservation>(it));
        home.onReservationReleased();
    }
    void onEndsPersisted(const protocol::Message& it, EventTime at)
    {
        capacity.onEndsPersisted(std::get<protocol::EndsPersisted>(it), at.now);
    }
    void onStop(const protocol::Message& it, EventTime at)
    {
        capacity.onStop(std::get<protocol::StopJobs>(it), at, effects);
    }
    void onRequestInventory(const protocol::Message& it, EventTime)
    {
        capacity.onRequestInventory(std::get<protocol::RequestInventory>(it), effects);
    }
    void onClaim(const protocol::Message& it, EventTime at)
    {
        claims.onClaim(std::get<protocol::ClaimOnce>(it), at, effects);
    }
    void onFinish(const protocol::Message& it, EventTime)
    {
        claims.onFinish(std::get<protocol::FinishOnce>(it), effects);
    }
    void ignore(const protocol::Message&, EventTime) { }

    void refreshFleet();
    void pollLog(EventTime at);
    void onLogEvents(const acceptance::LogEvents& events, EventTime at);
    void deliverLocally(EventTime at, Effects& out);

    Ownership ownership;
    PartitionTimes times;
    acceptance::GroupLog log;
    Home home;
    Capacity capacity;
    ClaimHandler claims;
    FleetView fleet;
    Effects effects;
    bool isRecovering = true; //!< the log has not been restored yet
    bool isOwnershipLost = false;
};

//! Returns whether an item of the log is a job; the others are idempotency keys.
bool isJobItem(const acceptance::ItemId& item);

} // namespace sardinerun::partition
