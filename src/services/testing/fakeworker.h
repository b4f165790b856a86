#pragma once

#include "services/servicestypes.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>

namespace sardinerun::services::testing {

//! Callbacks on the starts and ends of a fake worker, for checks in tests.
struct WorkerEvents {
    std::function<void(const core::AttemptId&)> started = [](const core::AttemptId&) {};
    std::function<void(const core::AttemptId&, AttemptState)> ended = [](const core::AttemptId&, AttemptState) {};
};

//! In-memory worker that follows the protocol in docs/PLATFORM.md. Its clock is the time passed to each call.
class FakeWorker {
public:
    FakeWorker(core::Resources capacity, core::Duration lease, std::string name, WorkerEvents events)
        : m_capacity(capacity)
        , m_lease(lease)
        , m_name(std::move(name))
        , m_events(std::move(events))
    {
        startSession();
    }

    bool failsStarts = false;
    int usedPercent = 0; //!< usage to report, in percent of the declared size; 0 reports no usage

    //! Ends tasks whose run time has passed, or all tasks if the lease has expired.
    void tick(core::TimePoint now)
    {
        if (now > m_leaseUntil && hasRunning()) {
            for (auto& [id, it] : m_attempts) {
                if (it.report.state == AttemptState::Running)
                    end(id, it, AttemptState::Stopped);
            }
            startSession();
        }
        for (auto& [id, it] : m_attempts) {
            const bool hasFinished = it.report.state == AttemptState::Running && it.endsAt && now >= *it.endsAt;
            if (hasFinished)
                end(id, it, AttemptState::Succeeded);
        }
    }

    SyncResult sync(const WorkerSync& sync, core::TimePoint now)
    {
        tick(now);
        const auto isOlder
            = std::pair(sync.order.epoch, sync.order.sequence) <= std::pair(m_order.epoch, m_order.sequence);
        if (isOlder)
            return core::Failure { WorkerError { WorkerError::Code::Fenced, "older than the newest order" } };
        m_order = sync.order;
        for (const core::AttemptId& it : sync.acknowledged)
            removeEnded(it);
        if (sync.session == m_session) {
            const core::TimePoint renewedAt { std::chrono::milliseconds(sync.renewFrom) };
            m_leaseUntil = std::max(m_leaseUntil, renewedAt + m_lease);
            for (const core::AttemptId& it : sync.stops)
                stop(it);
            // A sync that was in transit for longer than a lease must not start anything.
            if (now > m_leaseUntil)
                startSession();
            else
                startAll(sync.starts, now);
        }
        return report(now);
    }

    //! Simulates the replacement or restart of the VM, after which none of its tasks are left.
    void restart()
    {
        for (auto& [id, it] : m_attempts) {
            if (it.report.state == AttemptState::Running)
                end(id, it, AttemptState::Stopped);
        }
        m_attempts.clear();
        m_order = {};
        startSession();
    }

    core::Resources running() const
    {
        core::Resources sum;
        for (const auto& [id, it] : m_attempts) {
            if (it.report.state == AttemptState::Running)
                sum = sum + it.report.resources;
        }
        return sum;
    }

    bool isRunning(const core::AttemptId& id) const
    {
        const auto it = m_attempts.find(id);
        return it != m_attempts.end() && it->second.report.state == AttemptState::Running;
    }

    const core::Resources& capacity() const { return m_capacity; }

private:
    struct Attempt {
        AttemptReport report;
        std::optional<core::TimePoint> endsAt;
    };

    bool hasRunning() const
    {
        const auto isRunning = [](const auto& it) { return it.second.report.state == AttemptState::Running; };
        return std::any_of(m_attempts.begin(), m_attempts.end(), isRunning);
    }

    void startSession() { m_session = m_name + "-" + std::to_string(++m_sessions); }

    void removeEnded(const core::AttemptId& id)
    {
        const auto it = m_attempts.find(id);
        if (it != m_attempts.end() && it->second.report.state != AttemptState::Running)
            m_attempts.erase(it);
    }

    void startAll(const std::vector<StartOrder>& orders, core::TimePoint now)
    {
        for (const StartOrder& it : orders)
            start(it, now);
    }

    void start(const StartOrder& order, core::TimePoint now)
    {
        if (m_attempts.contains(order.id))
            return;
        Attempt it;
        it.report = { order.id, AttemptState::Running, order.resources, {}, order.workload, order.label };
        if (usedPercent > 0) {
            it.report.used.cpu = core::MilliCpu(order.resources.cpu.value() * usedPercent / 100);
            it.report.used.memory = core::MebiBytes(order.resources.memory.value() * usedPercent / 100);
        }
        if (failsStarts) {
            it.report.state = AttemptState::NotStarted;
            m_attempts.emplace(order.id, it);
            return;
        }
        if (order.runTime > core::Duration(0))
            it.endsAt = now + order.runTime;
        m_attempts.emplace(order.id, it);
        m_events.started(order.id);
    }

    void stop(const core::AttemptId& id)
    {
        const auto it = m_attempts.find(id);
        if (it != m_attempts.end() && it->second.report.state == AttemptState::Running)
            end(id, it->second, AttemptState::Stopped);
    }

    void end(const core::AttemptId& id, Attempt& it, AttemptState state)
    {
        it.report.state = state;
        it.report.used = {};
        m_events.ended(id, state);
    }

    WorkerReport report(core::TimePoint now) const
    {
        WorkerReport it;
        it.session = m_session;
        it.time = static_cast<std::uint64_t>(now.time_since_epoch() / std::chrono::milliseconds(1));
        it.capacity = m_capacity;
        it.lease = m_lease;
        for (const auto& [id, attempt] : m_attempts)
            it.attempts.push_back(attempt.report);
        return it;
    }

    core::Resources m_capacity;
    core::Duration m_lease;
    std::string m_name;
    WorkerEvents m_events;
    std::string m_session;
    int m_sessions = 0;
    SyncOrder m_order;
    core::TimePoint m_leaseUntil {};
    std::map<core::AttemptId, Attempt> m_attempts;
};

} // namespace sardinerun::services::testing
