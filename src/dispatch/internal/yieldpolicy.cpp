#include "dispatch/yieldpolicy.h"

#include <algorithm>

namespace sardinerun::dispatch {

namespace {

//! A new leader is busy taking over, so it does not release the leadership within this time.
constexpr core::Duration yieldDelay = std::chrono::milliseconds(1500);
//! If the former leader was overloaded as well, the cause is hardly the VM.
constexpr core::Duration longYieldDelay = std::chrono::seconds(12);
//! Overload that lasts this long although new work is rejected is not caused by the work alone.
constexpr core::Duration maxOverloadTime = std::chrono::seconds(8);
//! A hand-over because of long overload that did not help is not repeated within this time.
constexpr core::Duration loadYieldPause = std::chrono::seconds(60);

} // namespace

YieldPolicy::YieldPolicy(core::TimePoint now, bool wasFormerOverloaded)
    : m_mayYieldAt(now + (wasFormerOverloaded ? longYieldDelay : yieldDelay))
    , m_mayYieldUnderLoadAt(now + (wasFormerOverloaded ? loadYieldPause : yieldDelay))
{
}

bool YieldPolicy::mustYield(core::TimePoint now, bool isOverloaded, bool isVmSlowed)
{
    if (!isOverloaded) {
        m_overloadedSince = {};
        return false;
    }
    if (m_overloadedSince == core::TimePoint())
        m_overloadedSince = now;
    if (isVmSlowed && now >= m_mayYieldAt)
        return true;
    return now >= m_mayYieldUnderLoadAt && now - m_overloadedSince >= maxOverloadTime;
}

} // namespace sardinerun::dispatch
