#include "estimation/workerspeeds.h"

#include <algorithm>
#include <array>
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
//! Samples of the fleet that are needed before its mean deviation counts.
constexpr double fleetPriorSamples = 30;
//! Limit for one sample. A task that takes seven times as long as its siblings says little about its worker.
constexpr double maxDeviation = 0.7;
constexpr core::Duration minRunTime = std::chrono::milliseconds(20);

//! Lengths that a step keeps; more would make the mean little better.
constexpr std::size_t maxLengths = 24;
//! Ratio of the deviation of a normal distribution to its median absolute deviation.
constexpr double deviationOfMedian = 1.48;

template <typename It> float medianOf(It begin, It end)
{
    const auto middle = begin + (end - begin) / 2;
    std::nth_element(begin, middle, end);
    return (end - begin) % 2 == 1 ? *middle : (*middle + *std::max_element(begin, middle)) / 2;
}

} // namespace

void StepSample::add(double length)
{
    if (m_newest.size() < maxLengths)
        m_newest.push_back(float(length));
    else
        m_newest[m_count % maxLengths] = float(length);
    m_longest = m_count == 0 ? length : std::max(m_longest, length);
    ++m_count;
}

StepSample::Summary StepSample::summary() const
{
    std::array<float, maxLengths> values {};
    const auto end = std::copy(m_newest.begin(), m_newest.end(), values.begin());
    const float median = medianOf(values.begin(), end);
    Summary it;
    for (auto value = values.begin(); value != end; ++value) {
        const float distance = *value - median;
        it.mean += std::clamp(double(distance), -maxDeviation, maxDeviation);
        *value = std::abs(distance);
    }
    it.mean = double(median) + it.mean / double(m_newest.size());
    it.deviation = deviationOfMedian * double(medianOf(values.begin(), end));
    return it;
}

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
        const double relative = std::clamp(step.summary().mean - logTime, -maxDeviation, maxDeviation);
        // The mean of few siblings is itself uncertain.
        const double weight = double(step.count()) / double(step.count() + 1);
        // Of the tasks of a step, those that end first are the shortest, so the others seem to be on slow workers.
        // Without this correction the mean of all workers would be below the mean speed.
        const double deviation = relative - m_fleet.shrunkTo(0, fleetPriorSamples);
        m_fleet.add(relative, weight, now);
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
