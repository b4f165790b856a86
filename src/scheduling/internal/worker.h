#pragma once

#include "fleet/iworkerorders.h"
#include "runtime/iloop.h"
#include "scheduling/orderwindow.h"
#include "scheduling/schedulingtypes.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace sardinerun::scheduling {

//! How a run ended, as reported by its worker or concluded from the loss of the worker.
struct RunTermination {
    enum class Cause {
        Ended, //!< the worker has reported its end
        NotStarted, //!< the worker did not start it
        Lost //!< the lease expired, or the worker restarted or no longer lists the run
    };
    Cause cause = Cause::Lost;
    fleet::EndKind end = fleet::EndKind::Failed; //!< valid if the cause is Ended
    fleet::OrderFailure::Code startFailure = fleet::OrderFailure::Code::Unknown; //!< valid if the cause is NotStarted
    std::string checkpoint; //!< newest one reported
    core::Duration runTime {}; //!< since it was ordered or adopted
};

//! A run that occupies room on a worker.
struct WorkerRun {
    enum class State {
        Ordered, //!< the start order is not answered yet
        Running,
        Stopping, //!< a stop was sent
        StartUncertain, //!< the start order was not answered in time; the next report shows what became of it
        StartRevoked //!< a report did not list it, so a stop order rules out a later start
    };
    State state = State::Ordered;
    core::Resources occupiedRoom;
    core::TimePoint orderedAt {}; //!< when it was ordered or adopted
    bool isFromBeginning = false; //!< ordered by this leader, and not from a checkpoint
    //! When its start or stop was answered; reports requested later must list it if it still runs.
    core::TimePoint confirmedAt {};
    core::TimePoint uncertainSince {}; //!< when its start became uncertain
    int overdueSamples = 0; //!< how often it was learned from while it went on
    int newConnections = 0; //!< how often its start was held back as the connection was new
    core::TimePoint progressAt {}; //!< when its percent last changed
    int percent = 0;
    int firstPercent = -1; //!< at the first report of the run; -1 before
    core::TimePoint firstListedAt {};
    int sampledPercent = 0; //!< at the last speed sample
    core::TimePoint sampledAt {};
    std::int64_t load = 0;
    //! Percent of its CPU that it may use; nothing: unknown, as a former leader may have set it.
    std::optional<int> cpuLimit;
    std::string checkpoint;
    bool isStopInFlight = false;

    core::Duration timePerPercent() const; //!< 0 if unknown
};

//! Decision about a run that this leader did not start.
struct Adoption {
    bool isAdopted = false; //!< otherwise it is stopped
    std::optional<core::Resources> room; //!< room that it occupies; nothing: unknown
};

class Worker;
using WorkerPtr = std::shared_ptr<Worker>;

//! Callbacks of a worker.
struct WorkerHooks {
    std::function<void(Worker&, const fleet::RunId&)> running; //!< a start was confirmed
    std::function<void(Worker&, const fleet::RunId&, const RunTermination&)> terminated;
    //! Decides about a run that this leader did not start.
    std::function<Adoption(Worker&, const fleet::RunningRun&)> adopt;
    //! The worker reported an end; `Worker::acknowledgeEnd` must be called once the worker may discard it. Called
    //! before `terminated`. `runTime` counts from the order or the adoption; nothing if the run is unknown.
    std::function<void(Worker&, const fleet::EndedRun&, std::optional<core::Duration> runTime)> ended;
    //! A run did `share` of its work within `elapsed`.
    std::function<void(Worker&, const fleet::RunId&, double share, core::Duration elapsed)> progress;
    std::function<void(Worker&)> reported; //!< a report was applied
    //! The worker rejected an order because it has restarted or another worker uses its address.
    std::function<void(Worker&)> incarnationEnded;
    std::function<void(Worker&)> fenced; //!< the worker has seen a higher fence, so another leader was elected
    //! Returns whether so many workers are silent that the cause may be this node.
    std::function<bool()> isLeaderIsolated = [] { return false; };
    //! Returns whether leases may be extended: no other leader can rely on their end.
    std::function<bool()> mayExtendLeases = [] { return true; };
};

//! The leader's view of one worker: its room, its runs, its lease, and the exchange of orders and reports with it.
//!
//! A run occupies its room from its start order until its end is certain.
class Worker : public std::enable_shared_from_this<Worker> {
public:
    static WorkerPtr create(runtime::ILoopPtr loop, fleet::IWorkerOrdersPtr orders, fleet::WorkerEntry entry,
        core::Epoch fence, core::TimePoint priorLeaseUntil, SchedulingTimes times, OrderWindowPtr window,
        WorkerHooks hooks);

    void begin(core::Duration delay); //!< starts renewing the lease after a delay
    void detach(); //!< stops the exchange; no callback follows
    //! Updates the registry entry. Only the worker's own reports detect a restart.
    void setEntry(fleet::WorkerEntry entry);
    void setListed(bool isListed);
    //! Sets when the leases of former leaders have expired at the latest.
    void setPriorLeaseUntil(core::TimePoint until) { m_priorLeaseUntil = until; }

    const fleet::WorkerEntry& entry() const { return m_entry; }
    const core::VmId& id() const { return m_entry.id; }
    core::Resources freeRoom() const { return m_entry.capacity - m_occupiedRoom; }
    const std::map<fleet::RunId, WorkerRun>& runs() const { return m_runs; }
    const std::string& rack() const { return m_entry.rack; }

    bool isListed() const { return m_isListed; } //!< in the registry
    //! Whether its roster entry is persisted, so that a later leader contacts it.
    bool isRostered() const { return m_isRostered; }
    void setRostered() { m_isRostered = true; }
    //! Returns whether the worker has been unlisted for longer than the grace period.
    bool hasLeft(core::TimePoint now) const { return !m_isListed && now - m_unlistedAt > m_times.relistGrace; }
    bool hasAnswered() const { return m_hasAnswered; } //!< to this leader's fence
    bool isUnresponsive() const { return m_failedRenewals > 0; } //!< the last lease renewal failed
    bool isReachable() const { return m_hasAnswered && m_failedRenewals == 0; }
    bool acceptsStarts(core::TimePoint now) const;
    //! Returns the time by which all runs on the worker have certainly ended if it stays unresponsive.
    core::TimePoint leaseExpiresAt() const;
    //! Returns whether a report of the current incarnation included all of its ends.
    bool hasListedAllEnds() const { return m_hasListedAllEnds; }
    //! Returns whether no run or end of a former leader can be there unnoticed: the worker has listed all of them, or
    //! its lease has expired.
    bool areFormerRunsKnown(core::TimePoint now) const { return m_hasListedAllEnds || now >= leaseExpiresAt(); }

    //! Orders a start that was decided at `decidedAt`; its lease counts from then.
    void startRun(const fleet::StartOrder& order, const core::Resources& occupiedRoom, core::TimePoint decidedAt);
    void stopRun(const fleet::RunId& run);
    //! Limits the share of its CPU that a run may use; does nothing if this limit is already set.
    void limitCpu(const fleet::RunId& run, int percent);
    //! Records that the run was learned from while it went on.
    void countOverdueSample(const fleet::RunId& run) { ++m_runs.at(run).overdueSamples; }
    //! Marks an end as acknowledged, if it belongs to the worker's current incarnation.
    void acknowledgeEnd(fleet::WorkerStartTime incarnation, fleet::EndNumber number);
    void pauseStartsUntil(core::TimePoint until) { m_startsPausedUntil = std::max(m_startsPausedUntil, until); }

    //! Returns an upper estimate of the worker's clock at a time.
    fleet::WorkerClock clockAt(core::TimePoint at) const;

private:
    Worker(runtime::ILoopPtr loop, fleet::IWorkerOrdersPtr orders, fleet::WorkerEntry entry, core::Epoch fence,
        core::TimePoint priorLeaseUntil, SchedulingTimes times, OrderWindowPtr window, WorkerHooks hooks);
    fleet::WorkerAddress address() const { return { m_entry.id, m_entry.address }; }
    void scheduleRenewal(core::Duration delay);
    void renewLease();
    //! Number of a lease renewal; 0: none.
    using RenewalNumber = std::uint64_t;
    void onRenewed(RenewalNumber number, const fleet::LeaseRenewalResult& result, core::TimePoint sentAt);
    //! Treats the worker as unresponsive; an answer that arrives later is still used.
    void onRenewalOverdue(RenewalNumber number);
    //! Requests a report immediately, in parallel to a renewal that may be waiting.
    void refreshNow();
    void onRenewalFailed(const fleet::OrderFailure& failure);
    void retryRenewal(const fleet::OrderFailure& failure);
    core::Duration renewalRetryDelay() const;
    fleet::OrderPatience patience() const;
    //! Applies a report that was requested at `sentAt` or later.
    void applyReport(const fleet::WorkerReport& report, core::TimePoint sentAt);
    void applyEnds(const fleet::WorkerReport& report);
    void applyRunning(const fleet::WorkerReport& report, std::set<fleet::RunId>& reported);
    void sampleProgress(const fleet::RunId& runId, WorkerRun& run, int percent);
    void removeUnlistedRuns(const std::set<fleet::RunId>& reported, core::TimePoint sentAt);
    void recordClock(fleet::WorkerClock clock);
    //! Records the clock in the answer to an order that was sent to `incarnation`.
    void recordClock(const fleet::OrderResult& result, fleet::WorkerStartTime incarnation);
    void recordLease(fleet::WorkerClock until);
    void sendStart(const fleet::StartOrder& order); //!< for the incarnation that is known now
    void onStarted(const fleet::RunId& run, const fleet::OrderResult& result);
    //! Sends a start again that was held back because its connection was new. Gives it up if the connection leads to
    //! another incarnation, or if it was held back too often.
    void retryStart(
        const fleet::StartOrder& order, const fleet::WorkerReport& report, fleet::WorkerStartTime incarnation);
    //! Handles the answer of a start order that arrived too late or may have been lost.
    void doubtStart(const fleet::RunId& run);
    void confirmStart(const fleet::RunId& run);
    //! Stops runs with an uncertain start that a report requested at `sentAt` does not list.
    void revokeUnlistedStarts(const std::set<fleet::RunId>& reported, core::TimePoint sentAt);
    void sendStop(const fleet::RunId& run);
    void onStopped(const fleet::RunId& run, const fleet::OrderResult& result);
    void terminateRun(fleet::RunId run, RunTermination termination);
    void loseAllRuns();
    //! Loses the runs that the former incarnation had. A start without an answer may still reach the next one, so its
    //! outcome remains open.
    void loseConfirmedRuns();
    void checkLeaseExpiry();
    //! Returns the time from which runs on the unresponsive worker count as lost.
    core::TimePoint runsLostAt() const;
    void endIncarnation();
    //! Returns the last end that the worker may discard. After a failed renewal none, as the worker may have restarted
    //! and numbered other ends the same way.
    fleet::EndNumber acknowledgeableUpTo() const
    {
        return m_failedRenewals == 0 ? m_acknowledgedUpTo : fleet::EndNumber();
    }
    //! Returns whether the registry entry is of a former incarnation, whose capacity and labels may differ.
    bool isEntryOutdated() const { return m_listedIncarnation.value() > 0 && m_listedIncarnation < m_entry.startedAt; }
    bool hasUnacknowledgedEnds() const { return m_lastEnd.value() > m_acknowledgedUpTo.value(); }

    runtime::ILoopPtr m_loop;
    fleet::IWorkerOrdersPtr m_orders;
    fleet::WorkerEntry m_entry;
    core::Epoch m_fence;
    core::TimePoint m_priorLeaseUntil; //!< leases of former leaders have expired by then
    SchedulingTimes m_times;
    OrderWindowPtr m_window;
    WorkerHooks m_hooks;
    std::map<fleet::RunId, WorkerRun> m_runs;
    core::Resources m_occupiedRoom;
    fleet::WorkerClock m_clock; //!< last reading received
    core::TimePoint m_clockAt {}; //!< when the reading arrived
    fleet::WorkerClock m_leaseUntil; //!< latest lease end that was sent
    fleet::WorkerStartTime
        m_listedIncarnation; //!< the one that wrote the registry entry; 0 if the entry doesn't say so
    std::set<fleet::WorkerStartTime> m_formerIncarnations;
    core::TimePoint m_incarnationSeenAt {}; //!< when its last report was requested
    fleet::EndNumber m_lastEnd; //!< highest number reported
    fleet::EndNumber m_acknowledgedUpTo;
    std::set<fleet::EndNumber> m_acknowledgedAhead; //!< acknowledged ends above m_acknowledgedUpTo
    core::TimePoint m_startsPausedUntil {};
    int m_failedRenewals = 0; //!< number of consecutive failures
    bool m_hasAnswered = false;
    bool m_hasListedAllEnds = false; //!< a report of the current incarnation included all of its ends
    bool m_hasClock = false;
    bool m_isListed = true;
    bool m_isRostered = false;
    core::TimePoint m_unlistedAt {};
    RenewalNumber m_lastRenewal = 0;
    RenewalNumber m_awaitedRenewal = 0; //!< the one in flight, unless it is overdue
    fleet::WorkerClock m_reportClock; //!< of the newest report applied
    bool m_isRefreshing = false;
    bool m_isRenewalScheduled = false;
    bool m_isDetached = false;
    runtime::TimerId m_renewalTimer;
    runtime::TimerId m_overdueTimer; //!< of the awaited renewal
};

} // namespace sardinerun::scheduling
