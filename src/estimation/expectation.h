#pragma once

#include "core/types.h"

#include <array>
#include <cstddef>

namespace sardinerun::estimation {

//! Weighted histogram of the logarithms of real over expected run times.
class Residuals {
public:
    static constexpr std::size_t bins = 24;
    static constexpr double lowest = -1.2; //!< centre of the first bin
    static constexpr double width = 0.15; //!< the last bin begins above a factor of nine

    //! A normal distribution, which counts as a few samples.
    Residuals();
    //! Adds a residual; the sum of older ones loses weight so that it stays below `memory` samples.
    void add(double residual, double weight, double memory);
    //! Returns the value below which `share` of the weight lies, interpolated within its bin.
    double quantile(double share) const;
    //! Returns the share of the weight below a value.
    double shareBelow(double value) const;
    //! Returns the mean of the factors between real and expected run times.
    double meanFactor() const;

private:
    std::array<float, bins> m_weights {};
};

//! Returns the logarithm of the seconds, limited to lengths from 1 ms to 30 days.
double logSecondsOf(core::Duration it);
//! Inverse of `logSecondsOf`, within the same limits.
core::Duration durationOfLog(double logSeconds);

//! Distribution of the run time of a task on a worker of mean speed.
struct Expectation {
    double logMedian = 0; //!< logarithm of seconds
    double longestOfStep = 0; //!< logarithm of the longest task of a step over the median one, a cautious estimate
    double learnedShare = 0; //!< 0: the declared estimate, 1: what was learned
    double samples = 0; //!< weight of the samples of the kind itself
    Residuals residuals;

    core::Duration median() const;
    core::Duration mean() const;
    core::Duration longest() const { return durationOfLog(logMedian + longestOfStep); }
    core::Duration quantile(double share) const;
    //! Returns the median of the time that a run still needs after it has run for `elapsed`.
    core::Duration remainingAfter(core::Duration elapsed) const;
};

} // namespace sardinerun::estimation
