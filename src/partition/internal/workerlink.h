#pragma once

#include "partition/partitiontypes.h"

#include <map>
#include <optional>
#include <set>

namespace sardinerun::partition {

//! What an exchange with a worker told.
struct LinkNews {
    bool isFirst = false; //!< the worker is fenced now: no earlier owner can start anything on it
    bool isOwnershipLost = false; //!< the worker has heard of a later owner
    std::vector<services::AttemptReport> reports;
    std::vector<core::AttemptId> vanished; //!< were sent, and are not there any more
    core::Resources capacity;
};

//! The exchanges with one worker: one at a time, each with a higher sequence number.
//!
//! States: fencing (no answer yet), ready, failing (no new work), silent (left alone until its lease has surely
//! lapsed). What was sent stays counted until the worker or the lapse of its lease tells.
class WorkerLink {
public:
    WorkerLink(core::HostPort address, core::Epoch epoch, const PartitionTimes& times, core::TimePoint now);

    void start(const services::StartOrder& order);
    void stop(const core::AttemptId& attempt);
    //! Takes back a start that was never sent; false when it may have been.
    bool withdraw(const core::AttemptId& attempt);
    void acknowledge(const core::AttemptId& attempt);

    //! The exchange that is due, or nothing.
    std::optional<services::WorkerSync> next(core::TimePoint now);
    //! `mayTakeSession`: the owner is certain that it still is one, so it may use a session that is new to it. A
    //! worker that starts anew has forgotten whom it was fenced by, so a former owner must not use it.
    LinkNews onResult(const services::SyncResult& result, bool mayTakeSession, core::TimePoint now);

    //! True once, when silence has lasted so long that nothing can run on the worker any more.
    //!
    //! `formerGoneAt` is when the former owner was known to have ended. Until then a worker that this owner never
    //! reached may still be renewed by the former one, so its lease cannot be taken as lapsed.
    bool takeLapsed(core::TimePoint now, std::optional<core::TimePoint> formerGoneAt);
    //! Attempts that were sent and have not been reported as ended; all are over when the lease lapsed.
    std::vector<core::AttemptId> sentAttempts() const;
    void dropAll();

    //! Something is to be said in the next exchange.
    bool hasOrders() const { return !m_starts.empty() || !m_stops.empty() || !m_acknowledged.empty(); }
    bool isReady() const { return m_state == State::Ready; }
    bool isFenced() const { return m_isFenced; }
    const core::HostPort& address() const { return m_address; }
    void setAddress(core::HostPort address) { m_address = std::move(address); }

private:
    enum class State { Fencing, Ready, Failing, Silent };

    void onReport(const services::WorkerReport& report, LinkNews& news);
    void onFailure(const services::WorkerError& error, core::TimePoint now, LinkNews& news);

    core::HostPort m_address;
    core::Epoch m_epoch;
    const PartitionTimes& m_times;
    State m_state = State::Fencing;
    bool m_isFenced = false;
    bool m_isInFlight = false;
    std::uint64_t m_sequence = 0;
    std::string m_session;
    core::Duration m_lease;
    std::map<core::AttemptId, services::StartOrder> m_starts; //!< not yet reported by the worker
    std::set<core::AttemptId> m_sent; //!< in an exchange that the worker may have received
    std::set<core::AttemptId> m_present; //!< reported by the worker
    std::set<core::AttemptId> m_stops;
    std::set<core::AttemptId> m_acknowledged;
    std::set<core::AttemptId> m_acknowledging; //!< in the exchange in progress
    core::TimePoint m_nextAt;
    core::TimePoint m_lastReportAt;
    std::uint64_t m_renewFrom = 0;
    std::optional<core::TimePoint> m_failingSince;
};

} // namespace sardinerun::partition
