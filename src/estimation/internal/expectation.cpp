#include "estimation/expectation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sardinerun::estimation {

namespace {

constexpr double minSeconds = 0.001;
constexpr double maxSeconds = 30.0 * 24 * 3600;
//! Deviation of the initial distribution, and the number of samples that it counts as.
constexpr double initialDeviation = 0.4;
constexpr double initialWeight = 4;
//! A run that is beyond all known lengths is expected to take this share of the time that it has run.
constexpr double remainingShare = 0.25;
//! Share of the weight above the elapsed time below which the distribution says nothing about the rest.
constexpr double minShareAbove = 0.01;

} // namespace

Residuals::Residuals()
{
    for (std::size_t n = 0; n < bins; ++n) {
        const double distance = (lowest + width * double(n)) / initialDeviation;
        m_weights[n] = float(std::exp(-distance * distance / 2));
    }
    const float sum = std::accumulate(m_weights.begin(), m_weights.end(), 0.0F);
    for (float& it : m_weights)
        it *= float(initialWeight) / sum;
}

void Residuals::add(double residual, double weight, double memory)
{
    const float decay = float(1 - weight / (memory + weight));
    for (float& it : m_weights)
        it *= decay;
    const double position = std::clamp((residual - lowest) / width, 0.0, double(bins - 1));
    m_weights[std::size_t(std::lround(position))] += float(weight);
}

double Residuals::quantile(double share) const
{
    const float sum = std::accumulate(m_weights.begin(), m_weights.end(), 0.0F);
    double left = share * double(sum);
    for (std::size_t n = 0; n < bins; ++n) {
        const auto weight = double(m_weights[n]);
        if (left <= weight && weight > 0)
            return lowest + width * (double(n) - 0.5 + left / weight);
        left -= weight;
    }
    return lowest + width * (double(bins) - 0.5);
}

double Residuals::shareBelow(double value) const
{
    const double position = (value - lowest) / width + 0.5;
    double below = 0;
    double sum = 0;
    for (std::size_t n = 0; n < bins; ++n) {
        sum += double(m_weights[n]);
        below += double(m_weights[n]) * std::clamp(position - double(n), 0.0, 1.0);
    }
    return below / sum;
}

double Residuals::meanFactor() const
{
    double sum = 0;
    double weight = 0;
    for (std::size_t n = 0; n < bins; ++n) {
        sum += double(m_weights[n]) * std::exp(lowest + width * double(n));
        weight += double(m_weights[n]);
    }
    return sum / weight;
}

core::Duration Expectation::median() const
{
    return durationOfLog(logMedian);
}

core::Duration Expectation::mean() const
{
    return durationOfLog(logMedian + std::log(residuals.meanFactor()));
}

core::Duration Expectation::quantile(double share) const
{
    return durationOfLog(logMedian + residuals.quantile(share));
}

core::Duration Expectation::remainingAfter(core::Duration elapsed) const
{
    if (elapsed <= core::Duration(0))
        return median();
    const double below = residuals.shareBelow(logSecondsOf(elapsed) - logMedian);
    if (1 - below < minShareAbove)
        return core::Duration(std::int64_t(double(elapsed.count()) * remainingShare));
    return std::max(quantile(below + (1 - below) / 2) - elapsed, core::Duration(0));
}

double logSecondsOf(core::Duration it)
{
    return std::log(std::clamp(std::chrono::duration<double>(it).count(), minSeconds, maxSeconds));
}

core::Duration durationOfLog(double logSeconds)
{
    const double seconds = std::exp(std::clamp(logSeconds, std::log(minSeconds), std::log(maxSeconds)));
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace sardinerun::estimation
