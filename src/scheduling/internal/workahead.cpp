#include "scheduling/workahead.h"

namespace sardinerun::scheduling {

void WorkAhead::add(int priority, core::TimePoint startBy, const PendingWork& work)
{
    Level& level = m_levels[priority];
    level.jobs.push_back({ startBy, work.total(), work.tasks });
    level.sum.tasks += work.tasks;
    level.sum.coreSeconds += work.coreSeconds;
    level.sum.gangCoreSeconds += work.gangCoreSeconds;
}

void WorkAhead::addLate(int priority, const PendingWork& work)
{
    m_levels[priority].lateCoreSeconds += work.total();
}

WorkAhead::Sum WorkAhead::before(int priority, core::TimePoint startBy) const
{
    Sum sum;
    for (const auto& [levelPriority, level] : m_levels) {
        if (levelPriority > priority)
            break;
        sum.lateCoreSeconds += level.lateCoreSeconds;
        if (levelPriority < priority) {
            sum.coreSeconds += level.sum.coreSeconds;
            sum.gangCoreSeconds += level.sum.gangCoreSeconds;
            sum.tasks += level.sum.tasks;
            continue;
        }
        for (const JobWork& it : level.jobs) {
            if (it.startBy > startBy)
                continue;
            sum.coreSeconds += it.coreSeconds;
            sum.tasks += it.tasks;
        }
    }
    return sum;
}

} // namespace sardinerun::scheduling
