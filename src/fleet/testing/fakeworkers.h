#pragma once

#include "fleet/iworkerorders.h"
#include "runtime/iloop.h"

#include <map>
#include <set>

namespace sardinerun::fleet::testing {

//! One worker: fences, leases, runs that end when a test says so, and ends that stay until they are forgotten.
struct FakeWorker {
    std::uint64_t fence = 0;
    std::int64_t leaseUntil = 0;
    std::int64_t lastEnd = 0;
    WorkerStartTime startedAt;
    std::map<RunId, RunningRun> running;
    std::vector<EndedRun> ended;
    std::vector<StartOrder> starts; //!< all that were carried out
    std::map<TaskId, RunNumber> closed; //!< highest run of a task that ended or was stopped here: no lower one starts
    std::map<RunId, int> paces; //!< as last ordered
    bool isSilent = false; //!< nothing arrives
    bool isHung = false; //!< what runs there stands still
    int losesStarts = 0; //!< answers to the next starts are lost; the orders are carried out
    int delaysStarts = 0; //!< the next starts are kept back until `carryOutLate`
    std::vector<StartOrder> late;

    void end(const RunId& name, EndKind kind, const std::string& checkpoint = "")
    {
        const auto node = running.extract(name); // keeps the name alive, which may be the key of that entry
        close(name);
        ended.push_back({ EndNumber(++lastEnd), name, kind, checkpoint });
    }
    void close(const RunId& name) { closed[name.task] = std::max(closed[name.task], name.run); }
    void loseLife()
    {
        running.clear();
        ended.clear();
        closed.clear();
        lastEnd = 0;
        fence = 0;
    }
};

//! Workers behind the port of orders. Their clocks are the loop's.
class FakeWorkers : public IWorkerOrders {
public:
    explicit FakeWorkers(runtime::ILoopPtr loop)
        : m_loop(std::move(loop))
    {
    }

    std::map<core::VmId, FakeWorker> workers;
    std::function<void(FakeWorker&, const StartOrder&)> started; //!< told of each start that is carried out
    std::function<int(const RunId&)> percentOf; //!< progress of a run; without it one more each time it is told
    core::Duration lookPeriod = std::chrono::milliseconds(5); //!< between two looks of a hold that waits for an end
    std::function<void(const EndedRun&)> forgotten; //!< told of each end that the leader has kept
    core::Duration latency = std::chrono::milliseconds(2);
    core::Duration timeout = std::chrono::milliseconds(500);

    std::int64_t clock() const { return m_loop->now().time_since_epoch() / std::chrono::milliseconds(1); }

    void start(const WorkerAddress& to, const StartOrder& order, std::function<void(OrderResult)> callback) override
    {
        FakeWorker& worker = workers[to.id];
        if (worker.delaysStarts > 0 && !worker.isSilent) {
            --worker.delaysStarts;
            worker.late.push_back(order);
            answerUnknown(callback);
            return;
        }
        carryOut(
            to, callback, [this, order](FakeWorker& it) { return startNow(it, order); }, &FakeWorker::losesStarts);
    }
    void stop(const WorkerAddress& to, const StopOrder& order, std::function<void(OrderResult)> callback) override
    {
        carryOut(to, callback, [this, order](FakeWorker& it) -> OrderResult {
            if (order.fence.value() < it.fence)
                return core::Failure { OrderFailure { OrderFailure::Code::Fenced, "" } };
            it.close(order.run);
            if (it.running.contains(order.run))
                it.end(order.run, EndKind::Stopped, "kept");
            return WorkerClock(clock());
        });
    }
    void pace(const WorkerAddress& to, const CpuLimitOrder& order, std::function<void(OrderResult)> callback) override
    {
        carryOut(to, callback, [this, order](FakeWorker& it) -> OrderResult {
            if (order.fence.value() < it.fence)
                return core::Failure { OrderFailure { OrderFailure::Code::Fenced, "" } };
            it.paces[order.run] = order.percent;
            return WorkerClock(clock());
        });
    }
    void hold(
        const WorkerAddress& to, const LeaseRenewal& order, std::function<void(LeaseRenewalResult)> callback) override
    {
        m_loop->callAfter(latency, [this, to, order, callback, until = m_loop->now() + order.wait] {
            holdNow(to, order, workers[to.id].startedAt, until, callback);
        });
    }
    //! Carries out the starts that were kept back.
    void carryOutLate(const core::VmId& id)
    {
        for (const StartOrder& it : std::exchange(workers[id].late, {}))
            startNow(workers[id], it);
    }

private:
    template <class Function>
    void carryOut(const WorkerAddress& to, const std::function<void(OrderResult)>& callback, Function function,
        int FakeWorker::*losses = nullptr)
    {
        m_loop->callAfter(latency, [this, to, callback, function, losses] {
            FakeWorker& it = workers[to.id];
            if (it.isSilent) {
                answerUnknown(callback);
                return;
            }
            const OrderResult result = function(it);
            if (losses && it.*losses > 0) {
                --(it.*losses);
                answerUnknown(callback);
                return;
            }
            callback(result);
        });
    }
    void answerUnknown(const std::function<void(OrderResult)>& callback)
    {
        m_loop->callAfter(timeout, [callback] {
            callback(core::Failure { OrderFailure { OrderFailure::Code::Unknown, "timeout" } });
        });
    }
    OrderResult startNow(FakeWorker& it, const StartOrder& order)
    {
        using Code = OrderFailure::Code;
        if (order.fence.value() < it.fence)
            return core::Failure { OrderFailure { Code::Fenced, "" } };
        if (order.leaseUntil.value() < clock())
            return core::Failure { OrderFailure { Code::Late, "" } };
        it.fence = order.fence.value();
        it.leaseUntil = std::max(it.leaseUntil, order.leaseUntil.value());
        if (it.running.contains(order.run))
            return WorkerClock(clock());
        if (order.run.run <= it.closed[order.run.task])
            return core::Failure { OrderFailure { Code::Outdated, "" } };
        it.running[order.run] = { order.run, order.checkpoint, 0, 0 };
        it.starts.push_back(order);
        if (started)
            started(it, order);
        return WorkerClock(clock());
    }
    void lapse(FakeWorker& it) const
    {
        if (clock() <= it.leaseUntil)
            return;
        for (const auto& [name, run] : std::map(it.running))
            it.end(name, EndKind::LeaseExpired);
    }
    //! A hold that waits is broken off when the life ends that has taken it.
    void holdNow(const WorkerAddress& to, const LeaseRenewal& order, WorkerStartTime life, core::TimePoint until,
        const std::function<void(LeaseRenewalResult)>& callback)
    {
        FakeWorker& it = workers[to.id];
        lapse(it);
        if (it.isSilent || it.startedAt != life) {
            m_loop->callAfter(timeout, [callback] {
                callback(core::Failure { OrderFailure { OrderFailure::Code::Unknown, "timeout" } });
            });
            return;
        }
        if (order.fence.value() < it.fence) {
            callback(core::Failure { OrderFailure { OrderFailure::Code::Fenced, "" } });
            return;
        }
        it.fence = order.fence.value();
        if (order.leaseUntil)
            it.leaseUntil = std::max(it.leaseUntil, order.leaseUntil->value());
        std::erase_if(it.ended, [this, &order](const EndedRun& end) {
            const bool isKept = end.number <= order.acknowledgedUpTo;
            if (isKept && forgotten)
                forgotten(end);
            return isKept;
        });
        if (it.ended.empty() && m_loop->now() < until) {
            m_loop->callAfter(
                lookPeriod, [this, to, order, life, until, callback] { holdNow(to, order, life, until, callback); });
            return;
        }
        WorkerReport report;
        report.clock = WorkerClock(clock());
        report.startedAt = it.startedAt;
        for (auto& [name, run] : it.running) {
            if (!it.isHung)
                run.percent = percentOf ? percentOf(name) : std::min(run.percent + 1, 99);
            report.running.push_back(run);
        }
        report.ended = it.ended;
        callback(report);
    }

    runtime::ILoopPtr m_loop;
};

} // namespace sardinerun::fleet::testing
