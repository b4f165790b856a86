#pragma once

#include "fleet/iworkerorders.h"
#include "runtime/manualloop.h"
#include "store/irowstore.h"

#include <map>
#include <set>

//! Small stand-ins behind the ports, on the paused clock.
namespace sardinerun::scheduling::testing {

//! Rows in memory, with the failures of a real store.
class FakeRowStore : public store::IRowStore {
public:
    explicit FakeRowStore(runtime::ILoopPtr loop)
        : m_loop(std::move(loop))
    {
    }

    bool isDown = false; //!< certainly nothing happens
    bool isSilent = false; //!< questions for changes that come now are never heard
    int losesAnswers = 0; //!< so many of the next commits take effect, and their answers are lost
    core::Duration latency = std::chrono::milliseconds(8);
    std::map<store::RowKey, store::StoredRow> rows;
    std::uint64_t version = 0;
    int commits = 0;

    void commit(store::RowTransaction transaction, std::function<void(store::CommitResult)> callback) override
    {
        m_loop->callAfter(latency, [this, transaction, callback] { callback(apply(transaction)); });
    }
    void read(const std::string& table, const std::string& part, const std::string& after,
        std::function<void(store::PageResult)> callback) override
    {
        m_loop->callAfter(latency, [this, table, part, after, callback] {
            if (isDown) {
                callback(core::Failure { store::StoreFailure {} });
                return;
            }
            store::RowPage page;
            for (const auto& [key, row] : rows) {
                if (key.table == table && key.part == part && key.key > after)
                    page.rows.push_back(row);
            }
            page.version = core::RowVersion(version);
            callback(page);
        });
    }
    void changes(const std::string& table, core::RowVersion after, core::Duration wait,
        std::function<void(store::PageResult)> callback) override
    {
        if (isSilent) {
            m_loop->callAfter(wait + store::changesPatience, [callback] {
                callback(core::Failure { store::StoreFailure { store::StoreFailure::Code::Unknown, "timeout", {} } });
            });
            return;
        }
        m_loop->callAfter(latency, [this, table, after, until = m_loop->now() + wait, callback] {
            answerChanges(table, after, until, callback);
        });
    }

private:
    store::CommitResult apply(const store::RowTransaction& transaction)
    {
        if (isDown)
            return core::Failure { store::StoreFailure {} };
        ++commits;
        store::StoreFailure conflict { store::StoreFailure::Code::Conflict, "", {} };
        bool holds = true;
        for (const store::RowCondition& it : transaction.conditions) {
            const auto row = rows.find(it.key);
            holds = holds && (row == rows.end() ? core::RowVersion() : row->second.version) == it.version;
            if (row != rows.end())
                conflict.present.push_back(row->second);
        }
        if (!holds)
            return core::Failure { conflict };
        ++version;
        for (const store::RowUpdate& it : transaction.updates) {
            if (it.value)
                rows[it.key] = { it.key, *it.value, core::RowVersion(version), false };
            else
                rows.erase(it.key);
        }
        if (losesAnswers > 0) {
            --losesAnswers;
            return core::Failure { store::StoreFailure { store::StoreFailure::Code::Unknown, "lost", {} } };
        }
        return core::RowVersion(version);
    }
    void answerChanges(const std::string& table, core::RowVersion after, core::TimePoint until,
        const std::function<void(store::PageResult)>& callback)
    {
        if (isDown) {
            callback(core::Failure { store::StoreFailure {} });
            return;
        }
        store::RowPage page;
        for (const auto& [key, row] : rows) {
            if (key.table == table && row.version > after)
                page.rows.push_back(row);
        }
        page.version = core::RowVersion(version);
        if (!page.rows.empty() || m_loop->now() >= until) {
            callback(page);
            return;
        }
        m_loop->callAfter(std::chrono::milliseconds(10),
            [this, table, after, until, callback] { answerChanges(table, after, until, callback); });
    }

    runtime::ILoopPtr m_loop;
};

//! One worker: fences, leases, runs that end when a test says so, and ends that stay until they are forgotten.
struct FakeWorker {
    std::uint64_t fence = 0;
    std::int64_t leaseUntil = 0;
    std::int64_t lastEnd = 0;
    fleet::BornAt born;
    std::map<fleet::RunName, fleet::RunningRun> running;
    std::vector<fleet::EndedRun> ended;
    std::vector<fleet::StartOrder> starts; //!< all that were carried out
    std::set<fleet::RunName> stopped;
    bool isSilent = false; //!< nothing arrives
    bool isHung = false; //!< what runs there stands still
    int losesStarts = 0; //!< answers to the next starts are lost; the orders are carried out
    int delaysStarts = 0; //!< the next starts are kept back until `carryOutLate`
    std::vector<fleet::StartOrder> late;

    //! By value: the name may be the key of the entry that is erased here.
    void end(fleet::RunName name, fleet::EndKind kind, const std::string& checkpoint = "")
    {
        running.erase(name);
        ended.push_back({ fleet::EndNumber(++lastEnd), name, kind, checkpoint });
    }
    void loseLife()
    {
        running.clear();
        ended.clear();
        lastEnd = 0;
        fence = 0;
    }
};

//! Workers behind the port of orders. Their clocks are the loop's.
class FakeWorkers : public fleet::IWorkerOrders {
public:
    explicit FakeWorkers(runtime::ILoopPtr loop)
        : m_loop(std::move(loop))
    {
    }

    std::map<core::VmId, FakeWorker> workers;
    core::Duration latency = std::chrono::milliseconds(2);
    core::Duration patience = std::chrono::milliseconds(500);

    std::int64_t clock() const { return m_loop->now().time_since_epoch() / std::chrono::milliseconds(1); }

    void start(const fleet::WorkerAddress& to, const fleet::StartOrder& order,
        std::function<void(fleet::OrderResult)> callback) override
    {
        FakeWorker& worker = workers[to.id];
        if (worker.delaysStarts > 0 && !worker.isSilent) {
            --worker.delaysStarts;
            worker.late.push_back(order);
            answerUnknown(callback);
            return;
        }
        order_(
            to, callback, [this, order](FakeWorker& it) { return startNow(it, order); }, &FakeWorker::losesStarts);
    }
    void stop(const fleet::WorkerAddress& to, const fleet::StopOrder& order,
        std::function<void(fleet::OrderResult)> callback) override
    {
        order_(to, callback, [this, order](FakeWorker& it) -> fleet::OrderResult {
            if (order.fence.value() < it.fence)
                return core::Failure { fleet::OrderFailure { fleet::OrderFailure::Code::Fenced, "" } };
            it.stopped.insert(order.run);
            if (it.running.contains(order.run))
                it.end(order.run, fleet::EndKind::Stopped, "kept");
            return fleet::WorkerClock(clock());
        });
    }
    void pace(const fleet::WorkerAddress&, const fleet::PaceOrder&, std::function<void(fleet::OrderResult)>) override {
    }
    void hold(const fleet::WorkerAddress& to, const fleet::HoldOrder& order,
        std::function<void(fleet::HoldResult)> callback) override
    {
        m_loop->callAfter(latency,
            [this, to, order, callback, until = m_loop->now() + order.wait] { holdNow(to, order, until, callback); });
    }
    //! Carries out the starts that were kept back.
    void carryOutLate(const core::VmId& id)
    {
        for (const fleet::StartOrder& it : std::exchange(workers[id].late, {}))
            startNow(workers[id], it);
    }

private:
    template <class Function>
    void order_(const fleet::WorkerAddress& to, const std::function<void(fleet::OrderResult)>& callback,
        Function function, int FakeWorker::*losses = nullptr)
    {
        m_loop->callAfter(latency, [this, to, callback, function, losses] {
            FakeWorker& it = workers[to.id];
            if (it.isSilent) {
                answerUnknown(callback);
                return;
            }
            const fleet::OrderResult result = function(it);
            if (losses && it.*losses > 0) {
                --(it.*losses);
                answerUnknown(callback);
                return;
            }
            callback(result);
        });
    }
    void answerUnknown(const std::function<void(fleet::OrderResult)>& callback)
    {
        m_loop->callAfter(patience, [callback] {
            callback(core::Failure { fleet::OrderFailure { fleet::OrderFailure::Code::Unknown, "timeout" } });
        });
    }
    fleet::OrderResult startNow(FakeWorker& it, const fleet::StartOrder& order)
    {
        using Code = fleet::OrderFailure::Code;
        if (order.fence.value() < it.fence)
            return core::Failure { fleet::OrderFailure { Code::Fenced, "" } };
        if (order.leaseUntil.value() < clock())
            return core::Failure { fleet::OrderFailure { Code::Late, "" } };
        if (it.stopped.contains(order.run))
            return core::Failure { fleet::OrderFailure { Code::Outdated, "" } };
        it.fence = order.fence.value();
        it.leaseUntil = std::max(it.leaseUntil, order.leaseUntil.value());
        it.running[order.run] = { order.run, order.checkpoint, 0, 0 };
        it.starts.push_back(order);
        return fleet::WorkerClock(clock());
    }
    void lapse(FakeWorker& it) const
    {
        if (clock() <= it.leaseUntil)
            return;
        for (const auto& [name, run] : std::map(it.running))
            it.end(name, fleet::EndKind::LeaseLapsed);
    }
    void holdNow(const fleet::WorkerAddress& to, const fleet::HoldOrder& order, core::TimePoint until,
        const std::function<void(fleet::HoldResult)>& callback)
    {
        FakeWorker& it = workers[to.id];
        lapse(it);
        if (it.isSilent) {
            m_loop->callAfter(patience, [callback] {
                callback(core::Failure { fleet::OrderFailure { fleet::OrderFailure::Code::Unknown, "timeout" } });
            });
            return;
        }
        if (order.fence.value() < it.fence) {
            callback(core::Failure { fleet::OrderFailure { fleet::OrderFailure::Code::Fenced, "" } });
            return;
        }
        it.fence = order.fence.value();
        if (order.leaseUntil)
            it.leaseUntil = std::max(it.leaseUntil, order.leaseUntil->value());
        std::erase_if(it.ended, [&order](const auto& end) { return end.number <= order.forgetUpTo; });
        if (it.ended.empty() && m_loop->now() < until) {
            m_loop->callAfter(std::chrono::milliseconds(5),
                [this, to, order, until, callback] { holdNow(to, order, until, callback); });
            return;
        }
        fleet::WorkerReport report;
        report.clock = fleet::WorkerClock(clock());
        report.born = it.born;
        for (auto& [name, run] : it.running) {
            run.percent = it.isHung ? run.percent : std::min(run.percent + 1, 99);
            report.running.push_back(run);
        }
        report.ended = it.ended;
        callback(report);
    }

    runtime::ILoopPtr m_loop;
};

} // namespace sardinerun::scheduling::testing
