#include "estimation/workerspeeds.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::estimation {

namespace {

//! Time constant with which samples lose weight. The speed of a worker is a property of its hardware and its
//! neighbours, which changes slowly; sudden changes are found by the scheduler's speed tracker.
constexpr double decaySeconds = 60;
//! Samples of a worker that weigh as much as its hardware type: the variance of one sample (0.12) over that of the
//! workers of one type (0.03).
constexpr double priorSamples = 4;
//! Samples that a hardware type needs before it differs from the mean of the fleet.
constexpr double hardwarePriorSamples = 30;
//! Limit for one sample. A task that takes seven times as long as its siblings says little about its worker.
constexpr double maxDeviation = 0.7;
constexpr core::Duration minRunTime = std::chrono::milliseconds(20);

} // namespace

void WorkerSpeeds::Average::add(double value, double sampleWeight, core::TimePoint now)
{
    const double decay = std::exp(-std::chrono::duration<double>(now - at).count() / decaySeconds);
    sum = sum * decay + value * sampleWeight;
    weight = weight * decay + sampleWeight;
    at = now;
}

void WorkerSpeeds::onCompleted(const core::VmId& worker, const std::string& hardware, core::Duration runTime,
    StepSample& step, core::TimePoint now)
{
    const double logTime = std::log(std::chrono::duration<double>(std::max(runTime, minRunTime)).count());
    if (step.count() > 0) {
        const double deviation = std::clamp(step.meanLength() - logTime, -maxDeviation, maxDeviation);
        // The mean of few siblings is itself uncertain.
        const double weight = double(step.count()) / double(step.count() + 1);
        m_workers[worker].add(deviation, weight, now);
        m_hardware[hardware].add(deviation, weight, now);
    }
    step.add(logTime + speedOf(worker, hardware).value());
}

LogSpeed WorkerSpeeds::speedOf(const core::VmId& worker, const std::string& hardware) const
{
    const auto type = m_hardware.find(hardware);
    const double prior = type == m_hardware.end() ? 0 : type->second.shrunkTo(0, hardwarePriorSamples);
    const auto it = m_workers.find(worker);
    return LogSpeed(it == m_workers.end() ? prior : it->second.shrunkTo(prior, priorSamples));
}

} // namespace sardinerun::estimation
