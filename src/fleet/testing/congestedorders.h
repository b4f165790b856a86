#pragma once

#include "fleet/testing/fakeworkers.h"

#include <algorithm>

namespace sardinerun::fleet::testing {

//! Orders to workers pass one queue, as they do on a busy processor or a full link; their answers wait in it, too.
class CongestedOrders : public IWorkerOrders {
public:
    CongestedOrders(runtime::ILoopPtr loop, std::shared_ptr<FakeWorkers> workers, double ordersPerSecond)
        : m_loop(std::move(loop))
        , m_workers(std::move(workers))
        , m_cost(std::int64_t(1e6 / ordersPerSecond))
    {
    }

    void start(const WorkerAddress& to, const StartOrder& order, std::function<void(OrderResult)> callback) override
    {
        afterQueue(order.patience.connect, std::move(callback),
            [this, to, order](auto reply) { m_workers->start(to, order, std::move(reply)); });
    }
    void stop(const WorkerAddress& to, const StopOrder& order, std::function<void(OrderResult)> callback) override
    {
        afterQueue(order.patience.connect, std::move(callback),
            [this, to, order](auto reply) { m_workers->stop(to, order, std::move(reply)); });
    }
    void limitCpu(
        const WorkerAddress& to, const CpuLimitOrder& order, std::function<void(OrderResult)> callback) override
    {
        m_workers->limitCpu(to, order, std::move(callback));
    }
    void renewLease(
        const WorkerAddress& to, const LeaseRenewal& order, std::function<void(LeaseRenewalResult)> callback) override
    {
        m_loop->callAfter(queueDelay(),
            [this, to, order, callback = std::move(callback)] { m_workers->renewLease(to, order, callback); });
    }

private:
    core::Duration queueDelay()
    {
        m_busyUntil = std::max(m_busyUntil, m_loop->now()) + m_cost;
        return m_busyUntil - m_loop->now();
    }

    //! Orders that wait for longer than their sender does are not sent.
    template <class Send> void afterQueue(core::Duration patience, std::function<void(OrderResult)> callback, Send send)
    {
        const core::Duration delay = queueDelay();
        if (delay > patience) {
            m_loop->callAfter(patience, [callback = std::move(callback)] {
                callback(core::Failure { OrderFailure { OrderFailure::Code::NotSent, "queue" } });
            });
            return;
        }
        m_loop->callAfter(delay, [this, send, callback = std::move(callback)] {
            send([this, callback](const OrderResult& result) {
                m_loop->callAfter(queueDelay(), [callback, result] { callback(result); });
            });
        });
    }

    runtime::ILoopPtr m_loop;
    std::shared_ptr<FakeWorkers> m_workers;
    core::Duration m_cost;
    core::TimePoint m_busyUntil {};
};

} // namespace sardinerun::fleet::testing
