#pragma once

#include "admission/admissiontypes.h"
#include "admission/teamorder.h"
#include "placement/placementtypes.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace sardinerun::admission {

//! Current usage by running work; input of `WorkQueue::pick`.
struct PickContext {
    jobs::ByUrgency<double> byUrgency {}; //!< share of the fleet that each class uses, 0 to 1
    jobs::ByUrgency<bool> isBlocked {}; //!< classes that are skipped because they found no room recently
    //! Usage of a team, divided by its weight. It is read when the team gets ready work, and after `onUsageChanged`.
    std::function<double(const core::TeamId&)> ofTeam;
};

//! Jobs waiting for workers, in the order in which their placement is attempted.
//!
//! Order: classes below their guaranteed share first, then by urgency; within a class the team with the lowest
//! weighted usage; within a team the earliest deadline, then the oldest job.
class WorkQueue {
public:
    void push(const QueueItem& item);
    void remove(const core::JobId& job);
    bool contains(const core::JobId& job) const { return m_entries.contains(job); }

    //! Defers a job until `until` or until room is freed, because there is no room for it now.
    void defer(const core::JobId& job, core::TimePoint until);
    //! Defers a job until `until` even if room is freed, because its last placement attempt ended in a fault.
    void pause(const core::JobId& job, core::TimePoint until);
    //! Makes all deferred jobs ready after room was freed. Paused jobs stay deferred.
    void wakeDeferred();

    //! The usage of a team has changed.
    void onUsageChanged(const core::TeamId& team) { m_outdatedTeams.insert(team); }
    //! The weights of the teams have changed, and so the weighted usage of any team may have.
    void onWeightsChanged();

    //! Returns the next job to place, or nothing. The job stays in the queue.
    std::optional<core::JobId> pick(
        core::TimePoint now, const placement::GuaranteedShares& shares, const PickContext& context);

    std::size_t sizeOf(jobs::Urgency urgency) const { return m_classSizes[jobs::indexOf(urgency)]; }
    std::size_t sizeOf(const core::TeamId& team) const;
    std::size_t size() const { return m_entries.size(); }
    //! Returns the waiting time of the class's oldest job; zero if none waits.
    core::Duration oldestWait(jobs::Urgency urgency, core::TimePoint now) const;

private:
    struct Rank {
        std::int64_t deadline = 0;
        core::TimePoint since;
        std::uint64_t sequence = 0;
        core::JobId job;
        auto operator<=>(const Rank&) const = default;
    };
    struct QueueEntry {
        QueueItem item;
        Rank rank;
        std::optional<core::TimePoint> deferredUntil; //!< set while in `m_deferred` or `m_paused`
    };
    using DeferredJobs = std::set<std::pair<core::TimePoint, core::JobId>>;
    using TeamQueue = std::set<Rank>;
    //! Ready jobs of an urgency class.
    struct ClassQueue {
        std::unordered_map<core::TeamId, TeamQueue> teams;
        TeamOrder order; //!< of the same teams
    };

    void insertReady(const QueueEntry& entry);
    void eraseReady(const QueueEntry& entry);
    void deferIn(const core::JobId& job, core::TimePoint until, DeferredJobs& deferredJobs);
    void wakeDue(DeferredJobs& deferredJobs, core::TimePoint now);
    void updateOrder(const PickContext& context);
    static const Rank* firstOf(const ClassQueue& queue);

    jobs::ByUrgency<ClassQueue> m_ready;
    std::unordered_set<core::TeamId> m_outdatedTeams; //!< whose usage is to be read again
    std::unordered_map<core::JobId, QueueEntry> m_entries;
    DeferredJobs m_deferred; //!< for lack of room
    DeferredJobs m_paused; //!< after a fault
    jobs::ByUrgency<std::size_t> m_classSizes {};
    jobs::ByUrgency<std::set<std::pair<core::TimePoint, core::JobId>>> m_byAge;
    std::map<core::TeamId, std::size_t> m_teamSizes;
    std::uint64_t m_sequence = 0;
};

} // namespace sardinerun::admission
