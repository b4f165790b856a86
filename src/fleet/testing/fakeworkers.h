#pragma once

#include "fleet/iworkerorders.h"
#include "runtime/iloop.h"

#include <algorithm>
#include <map>
#include <set>

namespace sardinerun::fleet::testing {

//! A simulated worker with fences and leases. Runs end on the test's command; ends are reported until acknowledged.
struct FakeWorker {
    std::uint64_t fence = 0;
    std::int64_t leaseUntil = 0;
    std::optional<std::int64_t> lapsedAt; //!< when the lease was last over before an order extended it
    std::int64_t lastEnd = 0;
    WorkerStartTime startedAt;
    core::TimePoint bornAt {}; //!< when this incarnation began; connections to it were opened later
    std::map<RunId, RunningRun> running;
    std::vector<EndedRun> ended;
    std::vector<StartOrder> starts; //!< all start orders that were carried out
    std::map<TaskId, RunNumber>
        closed; //!< highest run of each task that ended or was stopped here; lower ones do not start
    std::map<RunId, int> cpuLimits; //!< percent, as last ordered
    bool isSilent = false; //!< the worker receives nothing
    std::set<std::uint64_t> silentToFences; //!< the worker receives no order with one of these fences
    bool isHung = false; //!< its runs make no progress
    int losesStarts = 0; //!< number of next start orders that are carried out but whose answers are lost
    int newConnections = 0; //!< number of next start orders that are sent on new connections
    int delaysStarts = 0; //!< number of next start orders that are delayed until `carryOutDelayedStarts`
    std::vector<StartOrder> delayedStarts;
    core::Duration answerDelay {}; //!< of answers to orders that were carried out
    core::Duration stopDelay {}; //!< how long a run goes on after a stop order
    core::Duration reportDelay {}; //!< of answers to lease renewals
    bool losesReports = false; //!< the worker receives everything, but its answers to lease renewals are lost
    std::optional<WorkerReport> overtakenReport; //!< answers the next lease renewal

    void end(const RunId& runId, EndKind kind, const std::string& checkpoint = "")
    {
        const auto node = running.extract(runId); // keeps `runId` valid, which may refer to the key of this entry
        close(runId);
        ended.push_back({ EndNumber(++lastEnd), runId, kind, checkpoint });
    }
    bool receives(core::Epoch orderFence) const { return !isSilent && !silentToFences.contains(orderFence.value()); }
    void close(const RunId& runId) { closed[runId.task] = std::max(closed[runId.task], runId.run); }
    void loseState()
    {
        running.clear();
        ended.clear();
        closed.clear();
        lastEnd = 0;
        fence = 0;
        leaseUntil = 0;
        lapsedAt.reset();
    }
    //! Begins the next incarnation, which runs nothing and knows nothing.
    void restart(core::TimePoint now)
    {
        loseState();
        startedAt = WorkerStartTime(startedAt.value() + 1);
        bornAt = now;
    }
};

//! Simulated workers as an implementation of IWorkerOrders.
class FakeWorkers : public IWorkerOrders {
public:
    explicit FakeWorkers(runtime::ILoopPtr loop)
        : m_loop(std::move(loop))
    {
    }

    std::map<core::VmId, FakeWorker> workers;
    std::function<void(FakeWorker&, const StartOrder&)> started; //!< called for each start order that is carried out
    std::function<int(const RunId&)>
        percentOf; //!< returns a run's progress; if unset, it grows by one percent with each report
    core::Duration pollPeriod
        = std::chrono::milliseconds(5); //!< interval at which a waiting lease renewal checks for ended runs
    std::function<void(const EndedRun&)> endAcknowledged; //!< called for each end that the leader has acknowledged
    //! Called when a lease renewal reaches a worker, before it takes effect.
    std::function<void(const core::VmId&)> renewalArrives = [](const core::VmId&) {};
    core::Duration latency = std::chrono::milliseconds(2);
    std::size_t endsPerReport = 500; //!< further ends are listed once these are acknowledged
    core::Duration longestLease = std::chrono::seconds(10); //!< later ends of leases are shortened to this

    //! Returns a worker's clock, which counts from the start of its incarnation.
    std::int64_t clockOf(const FakeWorker& it) const
    {
        return (m_loop->now().time_since_epoch() - it.bornAt.time_since_epoch()) / std::chrono::milliseconds(1);
    }

    void start(const WorkerAddress& to, const StartOrder& order, std::function<void(OrderResult)> callback) override
    {
        FakeWorker& worker = workers[to.id];
        if (worker.delaysStarts > 0 && worker.receives(order.fence)) {
            --worker.delaysStarts;
            worker.delayedStarts.push_back(order);
            answerUnknown(order.patience, callback);
            return;
        }
        carryOut(
            to, order.fence, order.patience, callback,
            [this, order, sentAt = m_loop->now()](FakeWorker& it) -> OrderResult {
                const bool isNewConnection = order.incarnationSeenAt < it.bornAt || it.newConnections > 0;
                if (!isNewConnection)
                    return startNow(it, order);
                it.newConnections = std::max(it.newConnections - 1, 0);
                if (sentAt < it.bornAt) // its connection has ended with the former incarnation
                    return core::Failure { OrderFailure { OrderFailure::Code::Unknown, "broken" } };
                it.fence = std::max(it.fence, order.fence.value());
                return core::Failure { OrderFailure {
                    OrderFailure::Code::NewConnection, "", std::make_shared<const WorkerReport>(reportOf(it)) } };
            },
            &FakeWorker::losesStarts);
    }
    void stop(const WorkerAddress& to, const StopOrder& order, std::function<void(OrderResult)> callback) override
    {
        carryOut(to, order.fence, order.patience, callback, [this, order](FakeWorker& it) -> OrderResult {
            if (order.fence.value() < it.fence)
                return core::Failure { OrderFailure { OrderFailure::Code::Fenced, "" } };
            it.close(order.runId);
            if (it.stopDelay > core::Duration(0))
                m_loop->callAfter(it.stopDelay, [&it, runId = order.runId, incarnation = it.startedAt] {
                    if (it.startedAt == incarnation && it.running.contains(runId))
                        it.end(runId, EndKind::Stopped, "kept");
                });
            else if (it.running.contains(order.runId))
                it.end(order.runId, EndKind::Stopped, "kept");
            return WorkerClock(clockOf(it));
        });
    }
    void limitCpu(
        const WorkerAddress& to, const CpuLimitOrder& order, std::function<void(OrderResult)> callback) override
    {
        carryOut(to, order.fence, order.patience, callback, [this, order](FakeWorker& it) -> OrderResult {
            if (order.fence.value() < it.fence)
                return core::Failure { OrderFailure { OrderFailure::Code::Fenced, "" } };
            it.cpuLimits[order.runId] = order.percent;
            return WorkerClock(clockOf(it));
        });
    }
    void renewLease(
        const WorkerAddress& to, const LeaseRenewal& order, std::function<void(LeaseRenewalResult)> callback) override
    {
        m_loop->callAfter(latency, [this, to, order, callback, sentAt = m_loop->now()] {
            renewalArrives(to.id);
            renewNow(to, order, workers[to.id].startedAt, sentAt, callback);
        });
    }
    //! Carries out the delayed start orders.
    void carryOutDelayedStarts(const core::VmId& id)
    {
        for (const StartOrder& it : std::exchange(workers[id].delayedStarts, {}))
            startNow(workers[id], it);
    }

private:
    template <class Function>
    void carryOut(const WorkerAddress& to, core::Epoch fence, const OrderPatience& patience,
        const std::function<void(OrderResult)>& callback, Function function, int FakeWorker::*losses = nullptr)
    {
        m_loop->callAfter(latency, [this, to, fence, patience, callback, function, losses] {
            FakeWorker& it = workers[to.id];
            if (!it.receives(fence)) {
                answerUnknown(patience, callback);
                return;
            }
            const OrderResult result = function(it);
            if (losses && it.*losses > 0) {
                --(it.*losses);
                answerUnknown(patience, callback);
                return;
            }
            if (it.answerDelay > patience.answer) {
                answerUnknown(patience, callback);
                return;
            }
            if (it.answerDelay > core::Duration(0))
                m_loop->callAfter(it.answerDelay, [callback, result] { callback(result); });
            else
                callback(result);
        });
    }
    void answerUnknown(const OrderPatience& patience, const std::function<void(OrderResult)>& callback)
    {
        m_loop->callAfter(patience.answer, [callback] {
            callback(core::Failure { OrderFailure { OrderFailure::Code::Unknown, "timeout" } });
        });
    }
    OrderResult startNow(FakeWorker& it, const StartOrder& order)
    {
        using Code = OrderFailure::Code;
        expireLease(it);
        if (order.fence.value() < it.fence)
            return core::Failure { OrderFailure { Code::Fenced, "" } };
        if (order.leaseUntil.value() < clockOf(it))
            return core::Failure { OrderFailure { Code::Late, "" } };
        it.fence = order.fence.value();
        extendLease(it, order.leaseUntil);
        if (it.running.contains(order.runId))
            return WorkerClock(clockOf(it));
        if (order.runId.run <= it.closed[order.runId.task])
            return core::Failure { OrderFailure { Code::Outdated, "" } };
        it.running[order.runId] = { order.runId, order.checkpoint, 0, 0 };
        it.starts.push_back(order);
        if (started)
            started(it, order);
        return WorkerClock(clockOf(it));
    }
    void extendLease(FakeWorker& it, WorkerClock until) const
    {
        if (clockOf(it) > it.leaseUntil)
            it.lapsedAt = it.leaseUntil;
        const std::int64_t granted = std::min(until.value(), clockOf(it) + longestLease / std::chrono::milliseconds(1));
        it.leaseUntil = std::max(it.leaseUntil, granted);
    }
    void expireLease(FakeWorker& it) const
    {
        if (clockOf(it) <= it.leaseUntil)
            return;
        for (const auto& [runId, run] : std::map(it.running))
            it.end(runId, EndKind::LeaseExpired);
    }
    //! A waiting lease renewal is dropped if the worker's incarnation changes.
    void renewNow(const WorkerAddress& to, const LeaseRenewal& order, WorkerStartTime incarnation,
        core::TimePoint sentAt, const std::function<void(LeaseRenewalResult)>& callback)
    {
        FakeWorker& it = workers[to.id];
        expireLease(it);
        if (!it.receives(order.fence) || it.startedAt != incarnation) {
            m_loop->callAfter(order.patience.answer, [callback] {
                callback(core::Failure { OrderFailure { OrderFailure::Code::Unknown, "timeout" } });
            });
            return;
        }
        if (order.fence.value() < it.fence) {
            callback(core::Failure { OrderFailure { OrderFailure::Code::Fenced, "" } });
            return;
        }
        it.fence = order.fence.value();
        // Older connections ended with the former incarnation.
        const bool isSameIncarnation = order.incarnationSeenAt >= it.bornAt;
        if (order.leaseUntil && isSameIncarnation)
            extendLease(it, *order.leaseUntil);
        std::erase_if(it.ended, [this, &order, isSameIncarnation](const EndedRun& end) {
            const bool isAcknowledged = isSameIncarnation && end.number <= order.acknowledgedUpTo;
            if (isAcknowledged && endAcknowledged)
                endAcknowledged(end);
            return isAcknowledged;
        });
        if (it.ended.empty() && m_loop->now() < sentAt + order.wait) {
            m_loop->callAfter(pollPeriod, [this, to, order, incarnation, sentAt, callback] {
                renewNow(to, order, incarnation, sentAt, callback);
            });
            return;
        }
        WorkerReport report = reportOf(it);
        if (it.overtakenReport)
            report = *std::exchange(it.overtakenReport, std::nullopt);
        report.requestedAt = sentAt;
        answerRenewal(it, order, report, callback);
    }
    //! Lists the runs, which make progress with each report, and the ends.
    WorkerReport reportOf(FakeWorker& it) const
    {
        WorkerReport report;
        report.clock = WorkerClock(clockOf(it));
        report.requestedAt = m_loop->now();
        report.startedAt = it.startedAt;
        for (auto& [runId, run] : it.running) {
            if (!it.isHung)
                run.percent = percentOf ? percentOf(runId) : std::min(run.percent + 1, 99);
            report.running.push_back(run);
        }
        const std::size_t listed = std::min(it.ended.size(), endsPerReport);
        report.ended.assign(it.ended.begin(), it.ended.begin() + std::ptrdiff_t(listed));
        report.mayHaveMoreEnds = listed == endsPerReport;
        return report;
    }
    //! Delivers a report, or nothing if it arrives later than the leader waits for it.
    void answerRenewal(const FakeWorker& it, const LeaseRenewal& order, const WorkerReport& report,
        const std::function<void(LeaseRenewalResult)>& callback)
    {
        if (it.losesReports || it.reportDelay > order.patience.answer)
            m_loop->callAfter(order.patience.answer, [callback] {
                callback(core::Failure { OrderFailure { OrderFailure::Code::Unknown, "timeout" } });
            });
        else if (it.reportDelay > core::Duration(0))
            m_loop->callAfter(it.reportDelay, [callback, report] { callback(report); });
        else
            callback(report);
    }

    runtime::ILoopPtr m_loop;
};

} // namespace sardinerun::fleet::testing
