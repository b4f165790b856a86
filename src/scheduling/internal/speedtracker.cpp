#include "scheduling/speedtracker.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::scheduling {

namespace {

//! Samples are forgotten over about this time, so a change shows within a second or two.
constexpr double memorySeconds = 1.5;
constexpr double queueGain = 0.01;
//! Kinds of workers differ by about a quarter either way, which no estimate knows.
constexpr double kindsVariance = 0.08;
//! Weight of about three samples of a queue whose estimates are good.
constexpr double neededWeight = 24;
//! Workers of unlike kinds differ by about a half; a worker in trouble by several times.
constexpr double slowSpeed = 0.42;
constexpr double smallestShare = 0.002;
constexpr core::Duration shortestSample = std::chrono::milliseconds(150);

} // namespace

double SpeedTracker::decayOf(const Record& it, core::TimePoint now)
{
    return std::exp(-std::chrono::duration<double>(now - it.at).count() / memorySeconds);
}

void SpeedTracker::onProgress(
    const core::VmId& worker, const std::string& queue, const ProgressSample& sample, core::TimePoint now)
{
    if (sample.took < shortestSample || sample.estimate <= core::Duration(0))
        return;
    const double share = std::max(sample.share, smallestShare);
    const double value = std::log(share * double(sample.estimate.count()) / double(sample.took.count()));
    Queue& its = m_queues[queue];
    const double difference = value - its.mean;
    its.mean += queueGain * difference;
    its.variance += queueGain * (difference * difference - its.variance);
    Record& record = m_workers[worker];
    const double decay = decayOf(record, now);
    const double weight = 1 / (its.variance + kindsVariance);
    record.sum = record.sum * decay + weight * difference;
    record.weight = record.weight * decay + weight;
    record.at = now;
}

bool SpeedTracker::isSlow(const core::VmId& worker, core::TimePoint now) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second.weight * decayOf(it->second, now) >= neededWeight / 2
        && speedOf(worker) < slowSpeed;
}

double SpeedTracker::speedOf(const core::VmId& worker) const
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || it->second.weight < neededWeight)
        return 1;
    return std::exp(it->second.sum / it->second.weight);
}

} // namespace sardinerun::scheduling
