#pragma once

#include "admission/admissiontypes.h"
#include "placement/placementtypes.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace sardinerun::admission {

//! What the queue needs to know of the work that runs.
struct ShareView {
    jobs::ByUrgency<double> byUrgency {}; //!< part of the fleet that each class has, 0 to 1
    jobs::ByUrgency<bool> isBlocked {}; //!< classes for which there was no room just now
    std::function<double(const core::TeamId&)> ofTeam; //!< what a team has, divided by its weight
};

//! Jobs that wait for workers, in the order in which they should be tried.
//!
//! Order: classes below their guaranteed share first, then by urgency; in a class the team that has least for
//! its weight; in a team the earliest deadline, then the oldest job.
class WorkQueue {
public:
    void push(const QueueItem& item);
    void remove(const core::JobId& job);
    bool contains(const core::JobId& job) const { return m_places.contains(job); }

    //! Sets a job aside until `until`, since there is no room for it now.
    void defer(const core::JobId& job, core::TimePoint until);
    //! Sets a job aside until `until` whatever room is freed, since its last try ended in a fault.
    void pause(const core::JobId& job, core::TimePoint until);
    //! Makes all deferred jobs ready, since room was freed; not those that were paused.
    void wakeAll();

    //! Next job to try, or nothing. The job stays in the queue.
    std::optional<core::JobId> pick(
        core::TimePoint now, const placement::GuaranteedShares& shares, const ShareView& view);

    std::size_t sizeOf(jobs::Urgency urgency) const { return m_classSizes[jobs::indexOf(urgency)]; }
    std::size_t sizeOf(const core::TeamId& team) const;
    std::size_t size() const { return m_places.size(); }
    //! Age of the oldest job of a class.
    core::Duration oldestWait(jobs::Urgency urgency, core::TimePoint now) const;

private:
    struct Rank {
        std::int64_t deadline = 0;
        core::TimePoint since;
        std::uint64_t sequence = 0;
        core::JobId job;
        auto operator<=>(const Rank&) const = default;
    };
    struct Place {
        QueueItem item;
        Rank rank;
        std::optional<core::TimePoint> asideUntil; //!< in `m_deferred` or `m_paused`
    };
    using Aside = std::set<std::pair<core::TimePoint, core::JobId>>;
    using TeamQueue = std::set<Rank>;
    using ClassQueue = std::map<core::TeamId, TeamQueue>;

    void insertReady(const Place& place);
    void eraseReady(const Place& place);
    void setAside(const core::JobId& job, core::TimePoint until, Aside& aside);
    void wakeDue(Aside& aside, core::TimePoint now);
    const Rank* firstOf(const ClassQueue& queue, const ShareView& view) const;

    jobs::ByUrgency<ClassQueue> m_ready;
    std::unordered_map<core::JobId, Place> m_places;
    Aside m_deferred; //!< for want of room
    Aside m_paused; //!< after a fault
    jobs::ByUrgency<std::size_t> m_classSizes {};
    jobs::ByUrgency<std::set<std::pair<core::TimePoint, core::JobId>>> m_byAge;
    std::map<core::TeamId, std::size_t> m_teamSizes;
    std::uint64_t m_sequence = 0;
};

} // namespace sardinerun::admission
