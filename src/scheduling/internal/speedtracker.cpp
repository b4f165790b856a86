#include "scheduling/speedtracker.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::scheduling {

namespace {

//! Time constant with which samples lose weight; a change is detected within one to two seconds.
constexpr double decaySeconds = 1.5;
constexpr double queueSmoothing = 0.01;
//! Types of workers differ in speed by about a quarter in either direction, which the estimates don't include.
constexpr double workerTypeVariance = 0.08;
//! Weight of about three samples of a queue with accurate estimates.
constexpr double minWeight = 24;
//! Workers of different types differ by about a half, an impaired worker by a factor of several.
constexpr double slowSpeed = 0.42;
constexpr double minShare = 0.002;
constexpr core::Duration minSampleTime = std::chrono::milliseconds(150);

} // namespace

double SpeedTracker::decayOf(const Record& it, core::TimePoint now)
{
    return std::exp(-std::chrono::duration<double>(now - it.at).count() / decaySeconds);
}

void SpeedTracker::onProgress(
    const core::VmId& worker, const std::string& queue, const ProgressSample& sample, core::TimePoint now)
{
    if (sample.elapsed < minSampleTime || sample.estimate <= core::Duration(0))
        return;
    const double share = std::max(sample.share, minShare);
    const double value = std::log(share * double(sample.estimate.count()) / double(sample.elapsed.count()));
    QueueStats& stats = m_queues[queue];
    const double difference = value - stats.mean;
    stats.mean += queueSmoothing * difference;
    stats.variance += queueSmoothing * (difference * difference - stats.variance);
    Record& record = m_workers[worker];
    const double decay = decayOf(record, now);
    const double weight = 1 / (stats.variance + workerTypeVariance);
    record.sum = record.sum * decay + weight * difference;
    record.weight = record.weight * decay + weight;
    record.at = now;
    if (speedOf(record) < slowSpeed)
        m_slowWorkers.insert(worker);
    else
        m_slowWorkers.erase(worker);
}

bool SpeedTracker::isSlow(const core::VmId& worker, core::TimePoint now) const
{
    if (!m_slowWorkers.contains(worker))
        return false;
    const Record& record = m_workers.at(worker);
    return record.weight * decayOf(record, now) >= minWeight / 2;
}

double SpeedTracker::speedOf(const Record& it)
{
    return it.weight < minWeight ? 1 : std::exp(it.sum / it.weight);
}

double SpeedTracker::speedOf(const core::VmId& worker) const
{
    const auto it = m_workers.find(worker);
    return it == m_workers.end() ? 1 : speedOf(it->second);
}

void SpeedTracker::removeWorker(const core::VmId& worker)
{
    m_workers.erase(worker);
    m_slowWorkers.erase(worker);
}

} // namespace sardinerun::scheduling
