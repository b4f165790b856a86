#include "scheduling/workahead.h"

namespace sardinerun::scheduling {

void WorkAhead::add(int priority, core::TimePoint startBy, const PendingWork& work)
{
    Level& level = m_levels[priority];
    level.jobs.push_back({ startBy, work.total() });
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
            continue;
        }
        for (const JobWork& it : level.jobs)
            sum.coreSeconds += it.startBy <= startBy ? it.coreSeconds : 0;
    }
    return sum;
}

} // namespace sardinerun::scheduling
