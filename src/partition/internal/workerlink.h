#pragma once

#include "partition/partitiontypes.h"

#include <map>
#include <optional>
#include <set>

namespace sardinerun::partition {

//! Result of an exchange with a worker.
struct LinkUpdate {
    bool isNewlyFenced = false; //!< fenced by this exchange: no earlier owner can start attempts on it
    bool isOwnershipLost = false; //!< the worker has been fenced by a later owner
    std::vector<services::AttemptReport> reports;
    std::vector<core::AttemptId> missing; //!< started earlier and no longer on the worker
    core::Resources capacity;
};

//! Runs the exchanges with one worker: one at a time, each with a higher sequence number.
//!
//! States: fencing (no answer yet), ready, failing (no new work), expiring (no exchanges until the lease has certainly
//! expired). Attempts that were sent stay counted until the worker reports their end or its lease expires.
class WorkerLink {
public:
    WorkerLink(core::HostPort address, core::Epoch epoch, const PartitionTimes& times, core::TimePoint now);

    void start(const services::StartOrder& order);
    void stop(const core::AttemptId& attempt);
    //! Removes a start that was never sent. Returns false if it may have been sent.
    bool withdraw(const core::AttemptId& attempt);
    void acknowledge(const core::AttemptId& attempt);

    //! Returns the exchange that is due, if any.
    std::optional<services::WorkerSync> next(core::TimePoint now);
    //! Handles the result of an exchange. `mayAcceptSession`: the ownership is certain, so a new worker session may be
    //! used. A restarted worker no longer has its fence, so a former owner must not use its session.
    LinkUpdate onResult(const services::SyncResult& result, bool mayAcceptSession, core::TimePoint now);

    //! Returns true once, when the lease has certainly expired and no attempt can run on the worker any more.
    //!
    //! `formerOwnerGoneAt` is the time when the former owner was known to have ended. Until then the former owner may
    //! still renew the lease of a worker that this owner never reached, so that lease cannot count as expired.
    bool expireLease(core::TimePoint now, std::optional<core::TimePoint> formerOwnerGoneAt);
    //! Returns the attempts that were sent and not reported as ended. All of them have ended once the lease expired.
    std::vector<core::AttemptId> sentAttempts() const;
    void reset();

    //! Returns whether the next exchange has starts, stops or acknowledgments to send.
    bool hasOrders() const { return !m_starts.empty() || !m_stops.empty() || !m_acknowledged.empty(); }
    bool isReady() const { return m_state == State::Ready; }
    bool isFenced() const { return m_isFenced; }
    const core::HostPort& address() const { return m_address; }
    void setAddress(core::HostPort address) { m_address = std::move(address); }

private:
    enum class State { Fencing, Ready, Failing, Expiring };

    void onReport(const services::WorkerReport& report, LinkUpdate& update);
    void onFailure(const services::WorkerError& error, core::TimePoint now, LinkUpdate& update);

    core::HostPort m_address;
    core::Epoch m_epoch;
    const PartitionTimes& m_times;
    State m_state = State::Fencing;
    bool m_isFenced = false;
    bool m_isInFlight = false;
    std::uint64_t m_sequence = 0;
    std::string m_session;
    core::Duration m_lease;
    std::map<core::AttemptId, services::StartOrder> m_starts; //!< starts that the worker has not reported yet
    std::set<core::AttemptId> m_sent; //!< starts in an exchange that the worker may have received
    std::set<core::AttemptId> m_reported; //!< in the newest report of the worker
    std::set<core::AttemptId> m_stops;
    std::set<core::AttemptId> m_acknowledged;
    std::set<core::AttemptId> m_acknowledgedInFlight; //!< acknowledgments in the exchange in progress
    core::TimePoint m_nextAt;
    core::TimePoint m_lastReportAt;
    std::uint64_t m_renewFrom = 0;
    std::optional<core::TimePoint> m_failingSince;
};

} // namespace sardinerun::partition
