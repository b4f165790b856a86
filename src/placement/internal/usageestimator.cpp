#include "placement/usageestimator.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::placement {

namespace {

constexpr double committedPercentile = 0.95;
//! Factor for the old weights at each new observation: about the last 500 observations have influence.
constexpr double weightDecay = 0.998;
//! Total weight, about the number of observations, before tasks of a workload may commit less than they declare.
constexpr double minTrustedWeight = 20;
//! Ratio between adjacent buckets; the first bucket is at 1/64 of the declared size.
constexpr double bucketGrowth = 1.15;
constexpr double smallestRatio = 1.0 / 64;

double ratioOf(std::int64_t used, std::int64_t declared)
{
    return declared > 0 ? static_cast<double>(used) / static_cast<double>(declared) : 0;
}

std::int64_t scaled(std::int64_t amount, double factor)
{
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(amount) * factor));
}

} // namespace

void UsageEstimator::Ratios::add(double ratio)
{
    const double step = std::log(std::max(ratio, smallestRatio) / smallestRatio) / std::log(bucketGrowth);
    const auto bucket = std::min(static_cast<std::size_t>(std::ceil(step)), bucketCount - 1);
    for (double& it : weights)
        it *= weightDecay;
    weights[bucket] += 1;
    total = total * weightDecay + 1;
}

double UsageEstimator::Ratios::percentile(double p) const
{
    double above = total * (1 - p);
    for (std::size_t bucket = bucketCount; bucket-- > 0;) {
        above -= weights[bucket];
        if (above < 0)
            return smallestRatio * std::pow(bucketGrowth, static_cast<double>(bucket));
    }
    return 0;
}

void UsageEstimator::report(const std::string& workload, const core::Resources& declared, const core::Resources& used)
{
    Workload& it = m_workloads[workload];
    it.cpu.add(ratioOf(used.cpu.value(), declared.cpu.value()));
    it.memory.add(ratioOf(used.memory.value(), declared.memory.value()));
}

core::Resources UsageEstimator::toCommit(
    const std::string& workload, const core::Resources& declared, const UsagePolicy& policy) const
{
    const auto it = m_workloads.find(workload);
    if (it == m_workloads.end())
        return declared;
    const auto factorOf = [&policy](const Ratios& ratios) {
        const double observed = ratios.percentile(committedPercentile) * (100 + policy.marginPercent) / 100;
        const double floor = ratios.total < minTrustedWeight ? 1.0 : policy.floorPercent / 100.0;
        return std::max(observed, floor);
    };
    core::Resources commit = declared;
    commit.cpu = core::MilliCpu(scaled(declared.cpu.value(), factorOf(it->second.cpu)));
    commit.memory = core::MebiBytes(scaled(declared.memory.value(), factorOf(it->second.memory)));
    return commit;
}

core::Resources UsageEstimator::toCommitRunning(const std::string& workload, const core::Resources& declared,
    const core::Resources& used, const UsagePolicy& policy) const
{
    core::Resources commit = toCommit(workload, declared, policy);
    const double margin = (100 + policy.marginPercent) / 100.0;
    commit.cpu = std::max(commit.cpu, core::MilliCpu(scaled(used.cpu.value(), margin)));
    commit.memory = std::max(commit.memory, core::MebiBytes(scaled(used.memory.value(), margin)));
    return commit;
}

} // namespace sardinerun::placement
