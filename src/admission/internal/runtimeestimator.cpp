#include "admission/runtimeestimator.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::admission {

namespace {

constexpr std::uint32_t minSamples = 5;
constexpr double meanGain = 0.125;
constexpr double deviationGain = 0.25;

double seconds(core::Duration it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

void RunTimeEstimator::report(const std::string& workload, core::Duration, core::Duration observed)
{
    RunTimeStats& it = m_workloads[workload];
    const double sample = seconds(observed);
    if (it.count++ == 0) {
        it.meanSeconds = sample;
        it.deviationSeconds = sample / 2;
        return;
    }
    // TCP's estimator of round-trip times (RFC 6298): cheap, and it follows changes.
    const double error = sample - it.meanSeconds;
    it.meanSeconds += meanGain * error;
    it.deviationSeconds += deviationGain * (std::abs(error) - it.deviationSeconds);
}

core::Duration RunTimeEstimator::expect(const std::string& workload, core::Duration declared) const
{
    const auto it = m_workloads.find(workload);
    if (it == m_workloads.end() || it->second.count < minSamples)
        return declared;
    const double expected = it->second.meanSeconds + 2 * it->second.deviationSeconds;
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(expected));
}

void RunTimeEstimator::onAdmitted(jobs::Urgency urgency, core::Duration expected)
{
    constexpr int meanWindow = 32; // approximate number of recent jobs that the mean covers
    core::Duration& mean = m_means[jobs::indexOf(urgency)];
    mean = mean == core::Duration(0) ? expected : mean + (expected - mean) / meanWindow;
}

} // namespace sardinerun::admission
