#include "admission/runtimeestimator.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::admission {

namespace {

constexpr std::uint32_t trustedCount = 5;
constexpr double meanGain = 0.125;
constexpr double deviationGain = 0.25;

double seconds(core::Duration it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

void RunTimeEstimator::report(const std::string& workload, core::Duration, core::Duration seen)
{
    Seen& it = m_workloads[workload];
    const double sample = seconds(seen);
    if (it.count++ == 0) {
        it.meanSeconds = sample;
        it.deviationSeconds = sample / 2;
        return;
    }
    // The estimator that TCP uses for round trips (RFC 6298): cheap, and it follows changes.
    const double error = sample - it.meanSeconds;
    it.meanSeconds += meanGain * error;
    it.deviationSeconds += deviationGain * (std::abs(error) - it.deviationSeconds);
}

core::Duration RunTimeEstimator::expect(const std::string& workload, core::Duration declared) const
{
    const auto it = m_workloads.find(workload);
    if (it == m_workloads.end() || it->second.count < trustedCount)
        return declared;
    const double expected = it->second.meanSeconds + 2 * it->second.deviationSeconds;
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(expected));
}

void RunTimeEstimator::onTaken(jobs::Urgency urgency, core::Duration expected)
{
    constexpr int weight = 32; // jobs that the mean looks back on, about
    core::Duration& mean = m_means[jobs::indexOf(urgency)];
    mean = mean == core::Duration(0) ? expected : mean + (expected - mean) / weight;
}

} // namespace sardinerun::admission
