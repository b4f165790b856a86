#pragma once

#include "fleet/iworkerorders.h"
#include "runtime/iloop.h"
#include "scheduling/schedulingtypes.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace sardinerun::scheduling {

//! How a run came to its end, as far as the worker or the lack of it tells.
struct RunOver {
    enum class Why {
        Ended, //!< the worker lists its end
        NotStarted, //!< it never ran
        Lost //!< with the worker's lease or life
    };
    Why why = Why::Lost;
    fleet::EndKind end = fleet::EndKind::Failed; //!< when it ended
    fleet::OrderFailure::Code refusal = fleet::OrderFailure::Code::Unknown; //!< when it was not started
    std::string checkpoint; //!< newest known
    core::Duration ran {}; //!< since its start
};

//! One run that holds room on a worker.
struct WorkerRun {
    enum class State {
        Ordered, //!< the start is on its way
        Running,
        Stopping, //!< a stop was ordered
        Closing //!< the answer to its start was lost; a stop settles whether it runs
    };
    State state = State::Ordered;
    core::Resources taken;
    core::TimePoint since {}; //!< when it was ordered
    core::TimePoint settledAt {}; //!< answer to its start or stop; later holds must list it
    core::TimePoint progressAt {}; //!< when its percent last changed
    int percent = 0;
    int firstPercent = -1; //!< when it was first listed
    core::TimePoint firstListedAt {};
    int sampledPercent = 0; //!< at the last sample of its speed
    core::TimePoint sampledAt {};
    std::int64_t load = 0;
    std::optional<int>
        limitCpu; //!< percent of its processors that it may use; nothing: a former leader may have set it
    std::string checkpoint;
    bool isStopInFlight = false;
};

//! What is to become of a run that was not ordered here.
struct Adoption {
    bool isKept = false; //!< else it is stopped
    std::optional<core::Resources> room; //!< that it takes; nothing: not known
};

class Worker;
using WorkerPtr = std::shared_ptr<Worker>;

//! What a worker tells its owner.
struct WorkerHooks {
    std::function<void(Worker&, const fleet::RunId&)> running; //!< a start was confirmed
    std::function<void(Worker&, const fleet::RunId&, const RunOver&)> over;
    std::function<Adoption(Worker&, const fleet::RunningRun&)> adopt; //!< something runs that was not ordered here
    //! An end is listed; `Worker::settle` must be called once it may be forgotten. Comes before `over`.
    std::function<void(Worker&, const fleet::EndedRun&, bool isKnown)> ended;
    //! A run did this share of its work in this time.
    std::function<void(Worker&, const fleet::RunId&, double share, core::Duration took)> progress;
    std::function<void(Worker&)> listed; //!< a report was taken in
    std::function<void(Worker&)> lifeOver; //!< another worker answers at its address, or it was born again
    std::function<void(Worker&)> fenced; //!< another leader has a higher fence
};

//! One worker as its leader sees it: its room, its runs, its lease, and the exchange with it.
//!
//! A run holds its room from its order until its end is certain.
class Worker : public std::enable_shared_from_this<Worker> {
public:
    static WorkerPtr create(runtime::ILoopPtr loop, fleet::IWorkerOrdersPtr orders, fleet::WorkerEntry entry,
        core::Epoch fence, core::TimePoint priorLeaseUntil, SchedulingTimes times, WorkerHooks hooks);

    void begin(); //!< starts the exchange
    void retire(); //!< ends it
    void setEntry(fleet::WorkerEntry entry);
    void setListed(bool isListed);

    const fleet::WorkerEntry& entry() const { return m_entry; }
    const core::VmId& id() const { return m_entry.id; }
    core::Resources room() const { return m_entry.capacity - m_taken; }
    const std::map<fleet::RunId, WorkerRun>& runs() const { return m_runs; }
    const std::string& rack() const { return m_entry.rack; }

    bool isListed() const { return m_isListed; } //!< in the register
    //! Neither listed nor about to be listed again.
    bool hasLeft(core::TimePoint now) const { return !m_isListed && now - m_unlistedAt > m_times.relistGrace; }
    bool hasAnswered() const { return m_hasAnswered; } //!< under this leader's fence
    bool isSilent() const { return m_failures > 0; } //!< its last hold had no answer
    bool isReachable() const { return m_hasAnswered && m_failures == 0; }
    bool takesStarts(core::TimePoint now) const;
    //! When all that may run there has certainly ended, if the worker stays silent.
    core::TimePoint lapsesAt() const;
    //! Nothing of a former leader can run there unseen.
    bool isSettled(core::TimePoint now) const { return m_hasAnswered || now >= lapsesAt(); }

    void startRun(const fleet::StartOrder& order, const core::Resources& taken);
    void stopRun(const fleet::RunId& run);
    //! Limits the share of its processors that a run may use; does nothing when that is in force.
    void limitCpu(const fleet::RunId& run, int percent);
    //! This end may be forgotten, if it is one of the worker's present life.
    void settle(fleet::WorkerStartTime life, fleet::EndNumber number);
    void avoidUntil(core::TimePoint until) { m_avoidUntil = std::max(m_avoidUntil, until); }

    //! Upper estimate of the worker's clock.
    fleet::WorkerClock clockNow() const;

private:
    Worker(runtime::ILoopPtr loop, fleet::IWorkerOrdersPtr orders, fleet::WorkerEntry entry, core::Epoch fence,
        core::TimePoint priorLeaseUntil, SchedulingTimes times, WorkerHooks hooks);
    fleet::WorkerAddress address() const { return { m_entry.id, m_entry.address }; }
    void holdSoon(core::Duration delay);
    void renewLease();
    void onHeld(const fleet::LeaseRenewalResult& result, core::TimePoint sentAt);
    //! Looks at once, beside a hold that waits.
    void lookNow();
    void onHoldFailed(const fleet::OrderFailure& failure);
    void takeReport(const fleet::WorkerReport& report, core::TimePoint sentAt);
    void takeEnds(const fleet::WorkerReport& report);
    void takeRunning(const fleet::WorkerReport& report, std::set<fleet::RunId>& listed);
    void sample(const fleet::RunId& name, WorkerRun& run, int percent);
    void dropUnlisted(const std::set<fleet::RunId>& listed, core::TimePoint sentAt);
    void noteClock(fleet::WorkerClock clock);
    void noteLease(fleet::WorkerClock until);
    void onStarted(const fleet::RunId& run, const fleet::OrderResult& result);
    void sendStop(const fleet::RunId& run);
    void onStopped(const fleet::RunId& run, const fleet::OrderResult& result);
    void finish(fleet::RunId run, RunOver over);
    void loseAll();
    void checkLapse();
    void endLife();
    //! Up to where ends may be forgotten by whoever answers. After a silence that may be another life, whose numbers
    //! mean other ends.
    fleet::EndNumber forgettable() const { return m_failures == 0 ? m_forgetUpTo : fleet::EndNumber(); }
    bool hasUnsettledEnds() const { return m_lastEnd.value() > m_forgetUpTo.value(); }

    runtime::ILoopPtr m_loop;
    fleet::IWorkerOrdersPtr m_orders;
    fleet::WorkerEntry m_entry;
    core::Epoch m_fence;
    core::TimePoint m_priorLeaseUntil; //!< a former leader's lease ends by then
    SchedulingTimes m_times;
    WorkerHooks m_hooks;
    std::map<fleet::RunId, WorkerRun> m_runs;
    core::Resources m_taken;
    fleet::WorkerClock m_clock; //!< newest reading
    core::TimePoint m_clockAt {}; //!< when it arrived
    fleet::WorkerClock m_leaseUntil; //!< latest that was sent
    fleet::EndNumber m_lastEnd; //!< highest listed
    fleet::EndNumber m_forgetUpTo;
    std::set<fleet::EndNumber> m_settled; //!< above m_forgetUpTo
    core::TimePoint m_avoidUntil {};
    int m_failures = 0; //!< of holds in a row
    bool m_hasAnswered = false;
    bool m_hasClock = false;
    bool m_isListed = true;
    core::TimePoint m_unlistedAt {};
    bool m_isHolding = false;
    bool m_isLooking = false;
    bool m_isHoldSet = false;
    bool m_isRetired = false;
    runtime::TimerId m_holdTimer;
};

} // namespace sardinerun::scheduling
