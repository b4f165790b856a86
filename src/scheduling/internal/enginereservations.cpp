//! Room that gangs reserve until they can start as a whole.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

constexpr core::Duration minRemainingTime = std::chrono::milliseconds(50);
//! A reservation visits all workers and their runs. In a large fleet it is reused for some rounds; with fewer than 80
//! workers each round computes a new one.
constexpr core::Duration reservationAgePerWorker = std::chrono::microseconds(100);
//! It is also reused for this multiple of the time that it took.
constexpr int reservationCostFactor = 20;

} // namespace

std::optional<core::Duration> EngineImpl::remainingTime(
    const Worker& worker, const fleet::RunId& runId, const WorkerRun& run) const
{
    const auto [job, stage] = findActive(runId.task);
    if (!stage || run.state == WorkerRun::State::Stopping || run.state == WorkerRun::State::StartRevoked)
        return m_dependencies.times.stopGrace;
    const workflow::StepSpec& step = job->stepOf(*stage);
    if (step.isLongRunning)
        return std::nullopt;
    const core::TimePoint now = m_dependencies.loop->now();
    if (run.timePerPercent() > core::Duration(0))
        return std::max(run.timePerPercent() * (100 - run.percent) - (now - run.progressAt), minRemainingTime);
    if (!m_estimates.uses().reservations)
        return std::max(step.estimate - (now - run.orderedAt), minRemainingTime);
    return std::max(
        m_estimates.expectationOf(*job, *stage, worker).remainingAfter(now - run.orderedAt), minRemainingTime);
}

const std::vector<RoomEvent>& EngineImpl::roomEvents(UsableWorker& usable) const
{
    if (usable.events)
        return *usable.events;
    std::vector<RoomEvent> events;
    for (const auto& [runId, run] : usable.worker->runs()) {
        if (const auto freeIn = remainingTime(*usable.worker, runId, run))
            events.push_back({ *freeIn, run.occupiedRoom });
    }
    std::sort(events.begin(), events.end(), [](const RoomEvent& a, const RoomEvent& b) { return a.freeIn < b.freeIn; });
    return usable.events.emplace(std::move(events));
}

std::optional<Reservation> EngineImpl::reservationFor(const ReadyStage& ready, core::TimePoint now)
{
    Stage& stage = *ready.stage;
    const core::Duration age = now - stage.reservedAt;
    const core::Duration maxAge = std::max(
        reservationAgePerWorker * std::int64_t(m_workers.size()), stage.reservationCost * reservationCostFactor);
    const bool isKnown = stage.reservedAt != core::TimePoint() && age < maxAge;
    if (isKnown && !stage.reservation)
        return std::nullopt;
    if (isKnown) {
        Reservation reservation = *stage.reservation;
        reservation.completeIn = std::max(reservation.completeIn - age, core::Duration(0));
        return reservation;
    }
    const core::TimePoint startedAt = m_dependencies.loop->now();
    stage.reservation = computeReservation(ready, now);
    stage.reservationCost = m_dependencies.loop->now() - startedAt;
    stage.reservedAt = now;
    return stage.reservation;
}

std::optional<Reservation> EngineImpl::computeReservation(const ReadyStage& ready, core::TimePoint now)
{
    const bool isAdvised = !ready.stage->advice.tickets.empty();
    FleetView& fleet = fleetViewOf(*ready.job);
    std::vector<FutureWorker> workers;
    for (Candidate& it : candidatesFor(
             *ready.job, *ready.stage, now, isAdvised ? CandidateFilter::Allowed : CandidateFilter::NotDenied)) {
        const std::vector<RoomEvent>& events = roomEvents(*fleet.find(it.worker));
        workers.push_back({ std::move(it), events });
    }
    return reserve(demandOf(*ready.job, *ready.stage), workers);
}

void EngineImpl::holdRoom(const ReadyStage& ready, const Reservation& reservation, core::TimePoint now)
{
    FleetView& fleet = fleetViewOf(*ready.job);
    HoldRequest request;
    request.estimate = ready.job->expectationOf(*ready.stage).longest;
    request.keepsRoomIdle = fleet.hasFreeRoomIn(reservation);
    request.isFleetMostlyFree = fleet.isMostlyFree();
    const core::ServiceId& service = ready.job->record.queue.service;
    RoomHold& hold = m_roomHolds[service];
    const bool wasPaused = hold.isPaused(now);
    const bool isHeld = hold.tryHold(now, request);
    if (!isHeld && !wasPaused)
        LogLine(Severity::Info, "room-not-held")
            .with("service", service.value())
            .with("job", ready.job->record.spec.id.value())
            .with("stage", std::int64_t(ready.stage->step))
            .with("expectedInMs", core::toMs(reservation.completeIn));
    fleet.addReservation(isHeld ? reservation : Reservation(), ready.isLate);
}

} // namespace sardinerun::scheduling
