#pragma once

#include "estimation/runtimes.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <vector>

namespace sardinerun::estimation::testing {

//! A load whose real run times are known, for the tests and for bench/runtimes.cpp. Deviations are of logarithms.
struct Mix {
    const char* name = "";
    double declaredError = 0.4; //!< deviation of the declared estimate from the real length of a step
    double spread = 0.5; //!< deviation of the lengths of steps
    double inStep = 0.2; //!< deviation of the tasks of a step
    double tail = 0; //!< share of tasks that take seven times as long
    double secondMode = 0; //!< share of steps that take ten times as long
    double broken = 0; //!< share of runs that end after a few milliseconds, although they count as completed
    double hung = 0; //!< share of runs that never end and are seen as still going on
    bool isChanging = false; //!< lengths change by a factor of four, back and forth, every 50 steps
    bool isNonsense = false; //!< the declared estimate is random over three decades
    bool isLying = false; //!< it is good for 40 steps and 30 times too long for the next 40
    std::uint32_t tasks = 10;
};

struct MixFigures {
    double declaredError = 0; //!< mean absolute logarithm of real over declared
    double error = 0; //!< the same for the expected median of a new step
    double errorWithSiblings = 0; //!< the same for the second half of a step's tasks, after the first has ended
    double beyond95 = 0; //!< share of runs that took longer than the expected 95th percentile
    double declaredRegret = 0; //!< see `orderRegret`, by declared estimates
    double regret = 0; //!< the same by expected run times
};

inline core::Duration secondsOf(double it)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(it));
}

//! Returns the share of the differences of the latest starts that lies in pairs of jobs, submitted at about the same
//! time, which an order by other run times turns round.
inline double orderRegret(const std::vector<double>& real, const std::vector<double>& assumed)
{
    double wrong = 0;
    double all = 0;
    for (std::size_t a = 0; a + 1 < real.size(); ++a) {
        for (std::size_t b = a + 1; b < real.size() && b < a + 20; ++b) {
            const double difference = real[a] - real[b];
            all += std::abs(difference);
            wrong += difference * (assumed[a] - assumed[b]) < 0 ? std::abs(difference) : 0;
        }
    }
    return all > 0 ? wrong / all : 0;
}

//! Plays the steps of one kind of tasks.
inline MixFigures playMix(const Mix& mix, int steps, unsigned seed, RunTimes& learned, const TaskKind& kind)
{
    std::mt19937 random(seed);
    std::normal_distribution<double> normal;
    std::uniform_real_distribution<double> uniform;
    MixFigures sum;
    std::vector<double> real;
    std::vector<double> declaredStarts;
    std::vector<double> expectedStarts;
    double submittedAt = 0;
    double runs = 0;
    double later = 0;
    for (int n = 0; n < steps; ++n) {
        double length = mix.spread * normal(random) + (uniform(random) < mix.secondMode ? std::log(10) : 0);
        length += mix.isChanging && n / 50 % 2 == 1 ? std::log(4) : 0;
        double declaredLog = length + mix.declaredError * normal(random);
        if (mix.isNonsense)
            declaredLog = (uniform(random) - 0.5) * std::log(1000);
        if (mix.isLying && n / 40 % 2 == 1)
            declaredLog += std::log(30);
        const core::Duration declared = secondsOf(std::exp(declaredLog));
        const Expectation before = learned.expect(kind, declared);
        std::vector<double> tasks;
        for (std::uint32_t k = 0; k < mix.tasks; ++k)
            tasks.push_back(length + mix.inStep * normal(random) + (uniform(random) < mix.tail ? std::log(7) : 0));
        constexpr double meanGap = 0.2; // seconds between submissions
        constexpr double stretch = 2.2;
        submittedAt += 2 * meanGap * uniform(random);
        real.push_back(submittedAt + (stretch - 1) * std::exp(length));
        declaredStarts.push_back(submittedAt + (stretch - 1) * std::exp(declaredLog));
        expectedStarts.push_back(submittedAt + (stretch - 1) * std::exp(before.logMedian));
        const double limit95 = before.logMedian + before.residuals.quantile(0.95);
        for (const double it : tasks) {
            sum.declaredError += std::abs(it - declaredLog);
            sum.error += std::abs(it - before.logMedian);
            sum.beyond95 += it > limit95 ? 1 : 0;
            ++runs;
        }
        StepSample done;
        const auto end = [&](double it) {
            if (uniform(random) < mix.hung) {
                learned.onStillRunning(kind, { declared, before.median() * 2, LogSpeed(0), mix.tasks });
                learned.onStillRunning(kind, { declared, before.median() * 4, LogSpeed(0), mix.tasks });
                return;
            }
            const double seen = uniform(random) < mix.broken ? std::log(0.005) : it;
            learned.onCompleted(kind, { declared, secondsOf(std::exp(seen)), LogSpeed(0), mix.tasks });
            done.add(seen);
        };
        const std::size_t half = tasks.size() / 2;
        std::for_each(tasks.begin(), tasks.begin() + std::ptrdiff_t(half), end);
        const Expectation after = learned.expect(kind, declared, { &done, mix.tasks, 0 });
        for (std::size_t k = half; k < tasks.size(); ++k) {
            sum.errorWithSiblings += std::abs(tasks[k] - after.logMedian);
            ++later;
        }
        std::for_each(tasks.begin() + std::ptrdiff_t(half), tasks.end(), end);
    }
    sum.declaredError /= runs;
    sum.error /= runs;
    sum.beyond95 /= runs;
    sum.errorWithSiblings /= later;
    sum.declaredRegret = orderRegret(real, declaredStarts);
    sum.regret = orderRegret(real, expectedStarts);
    return sum;
}

inline const std::vector<Mix>& allMixes()
{
    static const std::vector<Mix> mixes = [] {
        std::vector<Mix> all(12);
        all[0] = { .name = "declared within 1.2", .declaredError = 0.2 };
        all[1] = { .name = "declared within 1.6", .declaredError = 0.45 };
        all[2] = { .name = "declared within 2.5", .declaredError = 0.9 };
        all[3] = { .name = "declared within 2.5, tail", .declaredError = 0.9, .tail = 0.03 };
        all[4] = { .name = "exact", .declaredError = 0.01, .inStep = 0.05 };
        all[5] = { .name = "two modes", .declaredError = 0.3, .secondMode = 0.3 };
        all[6] = { .name = "changing", .declaredError = 0.4, .isChanging = true };
        all[7] = { .name = "nonsense", .isNonsense = true };
        all[8] = { .name = "lying in turns", .declaredError = 0.1, .isLying = true };
        all[9] = { .name = "broken runs", .declaredError = 0.4, .broken = 0.05 };
        all[10] = { .name = "hung runs", .declaredError = 0.4, .hung = 0.05 };
        all[11] = {
            .name = "exact, changing, hung", .declaredError = 0.05, .inStep = 0.1, .hung = 0.1, .isChanging = true
        };
        return all;
    }();
    return mixes;
}

} // namespace sardinerun::estimation::testing
