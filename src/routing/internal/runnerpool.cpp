#include "routing/internal/runnerpool.h"

#include "core/hashing.h"

#include <algorithm>

namespace sardinerun::routing {

namespace {

constexpr double meanWeight = 0.1;
constexpr int failuresToOpen = 3;
constexpr core::Duration initialOpenTime = std::chrono::seconds(1);
constexpr core::Duration maxOpenTime = std::chrono::seconds(30);
constexpr int maxDoublings = 5;
//! Percentage of a service's runners whose circuits may be open at the same time, so that a fault that affects all
//! runners does not take the whole service down.
constexpr std::size_t maxOpenCircuitsPercent = 30;

core::PartitionId shareOfSlot(const services::VmInfo& runner, std::int64_t slot, std::uint32_t partitionCount)
{
    const std::uint64_t n = core::stableHash(runner.id.value()) + static_cast<std::uint64_t>(slot);
    return core::PartitionId(static_cast<std::uint32_t>(n % partitionCount));
}

} // namespace

std::int64_t slotsOf(
    const services::VmInfo& runner, const std::set<core::PartitionId>& shares, std::uint32_t partitionCount)
{
    std::int64_t n = 0;
    for (std::int64_t slot = 0; slot < runner.slots.value() && partitionCount > 0; ++slot)
        n += shares.contains(shareOfSlot(runner, slot, partitionCount)) ? 1 : 0;
    return n;
}

void RunnerPool::update(const std::vector<services::VmInfo>& runners, const std::set<core::PartitionId>& shares,
    std::uint32_t partitionCount)
{
    for (auto& [id, it] : m_runners)
        it.isListed = false;
    for (const services::VmInfo& vm : runners) {
        Runner& it = m_runners[vm.id];
        it.vm = vm;
        it.isListed = true;
        it.slots = slotsOf(vm, shares, partitionCount);
    }
    std::erase_if(m_runners, [](const auto& it) { return !it.second.isListed && it.second.inUse == 0; });
}

bool RunnerPool::isUsable(const Runner& runner, core::TimePoint now) const
{
    return runner.isListed && runner.vm.state == services::VmState::Live && !runner.isLeaving
        && runner.inUse < runner.slots && now >= runner.circuitOpenUntil;
}

std::optional<core::VmId> RunnerPool::acquire(const std::set<core::VmId>& avoid, core::TimePoint now)
{
    Runner* best = nullptr;
    double bestWait = 0;
    for (auto& [id, it] : m_runners) {
        if (!isUsable(it, now) || avoid.contains(id))
            continue;
        const double load = double(it.inUse + 1) / double(it.slots);
        const double wait = load * (it.meanSeconds > 0 ? it.meanSeconds : 1e-6);
        if (!best || wait < bestWait) {
            best = &it;
            bestWait = wait;
        }
    }
    if (!best)
        return std::nullopt;
    ++best->inUse;
    ++m_totalInUse;
    return best->vm.id;
}

void RunnerPool::release(const core::VmId& runner, const Attempt& attempt, core::Duration elapsed, core::TimePoint now)
{
    const auto found = m_runners.find(runner);
    if (found == m_runners.end())
        return;
    Runner& it = found->second;
    --it.inUse;
    --m_totalInUse;
    it.isLeaving = it.isLeaving || attempt.isRunnerLeaving;
    const bool isFault = attempt.result == Attempt::Result::NotSent || attempt.result == Attempt::Result::Broken
        || (attempt.result == Attempt::Result::Answered && attempt.status >= 500);
    if (isFault) {
        recordFailure(it, now);
        return;
    }
    if (attempt.result != Attempt::Result::Answered)
        return;
    it.failuresInRow = 0;
    it.timesOpened = 0;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    it.meanSeconds = it.meanSeconds > 0 ? it.meanSeconds + meanWeight * (seconds - it.meanSeconds) : seconds;
}

bool RunnerPool::mayOpenCircuit(core::TimePoint now) const
{
    const auto isOpen = [now](const auto& it) { return now < it.second.circuitOpenUntil; };
    const auto n = static_cast<std::size_t>(std::count_if(m_runners.begin(), m_runners.end(), isOpen));
    return (n + 1) * 100 <= m_runners.size() * maxOpenCircuitsPercent;
}

void RunnerPool::recordFailure(Runner& runner, core::TimePoint now)
{
    if (++runner.failuresInRow < failuresToOpen || !mayOpenCircuit(now))
        return;
    // A single failure after this time opens the circuit again, for longer.
    runner.failuresInRow = failuresToOpen - 1;
    runner.circuitOpenUntil
        = now + std::min(initialOpenTime * (1 << std::min(runner.timesOpened, maxDoublings)), maxOpenTime);
    ++runner.timesOpened;
}

void RunnerPool::setLeaving(const core::VmId& runner, bool isLeaving)
{
    if (const auto it = m_runners.find(runner); it != m_runners.end())
        it->second.isLeaving = isLeaving;
}

const services::VmInfo* RunnerPool::find(const core::VmId& runner) const
{
    const auto it = m_runners.find(runner);
    return it == m_runners.end() ? nullptr : &it->second.vm;
}

bool RunnerPool::isShareIdle(
    core::PartitionId share, const std::set<core::PartitionId>& shares, std::uint32_t partitionCount) const
{
    std::set<core::PartitionId> others = shares;
    others.erase(share);
    const auto fits = [&](const auto& it) {
        return it.second.inUse == 0 || it.second.inUse <= slotsOf(it.second.vm, others, partitionCount);
    };
    return std::all_of(m_runners.begin(), m_runners.end(), fits);
}

std::int64_t RunnerPool::usableSlots(core::TimePoint now) const
{
    std::int64_t n = 0;
    for (const auto& [id, it] : m_runners) {
        const bool isExcluded
            = !it.isListed || it.vm.state != services::VmState::Live || it.isLeaving || now < it.circuitOpenUntil;
        n += isExcluded ? 0 : it.slots;
    }
    return n;
}

std::vector<services::VmInfo> RunnerPool::runnersWithSlots() const
{
    std::vector<services::VmInfo> all;
    for (const auto& [id, it] : m_runners) {
        if (it.isListed && it.slots > 0)
            all.push_back(it.vm);
    }
    return all;
}

} // namespace sardinerun::routing
