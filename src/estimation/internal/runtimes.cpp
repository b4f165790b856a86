#include "estimation/runtimes.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::estimation {

namespace {

//! Number of steps that a regression remembers.
constexpr double memory = 60;
//! Samples that the broader level counts as: the variance of the steps of a kind over that of the means of kinds.
constexpr double priorSamples = 3;
//! The same for the slope, as a sum of squared deviations of the logarithms of the declared times.
constexpr double priorVariance = 2;
//! A residual counts at most as this multiple of the mean absolute one, so that a tail does not move the median.
constexpr double maxResidual = 2.5;
constexpr double minDeviation = 0.1;
constexpr double initialDeviation = 0.4;
//! Share with which a new residual enters the drift. A mean of so few residuals that is beyond `driftLimit` times the
//! mean absolute residual is a change of the kind and not noise; older samples then lose most of their weight.
constexpr double driftShare = 0.2;
constexpr double driftLimit = 1.2;
constexpr double keptOnChange = 0.3;
constexpr double minDriftWeight = 8;
//! Samples over which the declared estimate and the regression are compared, and the learning rate of the exponentially
//! weighted average (Cesa-Bianchi and Lugosi, Prediction, Learning, and Games, 2006).
constexpr double comparedSamples = 30;
constexpr double learningRate = 1.5;
constexpr double maxLoss = 2;
//! Deviation of the lengths of the tasks of one step, and of steps around their expectation.
constexpr double deviationInStep = 0.25;
constexpr double deviationOfSteps = 0.45;
//! A run that is not yet done is weaker evidence than one that is.
constexpr double censoredWeight = 0.5;
//! Samples from which on a team counts for the median of its queue.
constexpr double minTeamWeight = 3;
//! Declared times, as logarithms of seconds, at which the lines of teams are compared: 0.3 s and 20 s.
constexpr double lowX = -1.2;
constexpr double highX = 3;
//! Quantile that is taken for the longest task of a step. A longer chain means a later objective, so that a chain that
//! is too long makes a job late, and one that is too short only starts it early.
constexpr double cautiousQuantile = 0.25;
constexpr std::size_t maxTeams = 4096;
constexpr std::size_t maxQueues = 256;
constexpr std::size_t shareOfTeam = 8;

//! Removes an arbitrary entry of a table that is full. Only a configuration of far more teams or queues than are
//! supported fills it.
template <typename Table> void makeRoom(Table& table, std::size_t limit)
{
    if (table.size() > limit)
        table.erase(table.begin());
}

double medianOf(std::vector<double>& values)
{
    const auto middle = values.begin() + std::ptrdiff_t(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::size_t combine(std::size_t a, std::size_t b)
{
    constexpr std::size_t mix = 0x9e3779b97f4a7c15ULL;
    return a ^ (b + mix + (a << 6U) + (a >> 2U));
}

//! Returns by how much the mean of the first `done` of `all` similar lengths is expected to be below the mean of all,
//! as a multiple of their deviation. The tasks of a step that end first are its shortest ones.
double shortnessOf(std::size_t done, std::size_t all)
{
    if (done >= all)
        return 0;
    // The density of a normal distribution at its quantile p is close to 1.6 p (1 - p), and the mean below the quantile
    // is the density over p.
    constexpr double densityFactor = 1.6;
    return densityFactor * (1 - double(done) / double(all));
}

} // namespace

RunTimes::Fit::Fit()
    : deviation(initialDeviation)
{
}

RunTimes::Line RunTimes::Fit::shrunkTo(const Line& prior) const
{
    const double slope = std::clamp((covariance + priorVariance * prior.slope) / (varianceX + priorVariance), 0.0, 1.5);
    const double y = (weight * meanY + priorSamples * prior.at(meanX)) / (weight + priorSamples);
    return { y - slope * meanX, slope };
}

void RunTimes::Fit::add(double x, double y, double predicted, double sampleWeight)
{
    const double residual = y - predicted;
    const double limit = maxResidual * std::max(deviation, minDeviation);
    const double limited = std::clamp(residual, -limit, limit);
    const double share = sampleWeight / std::min(weight + sampleWeight + priorSamples, memory);
    deviation += (std::abs(limited) - deviation) * share;
    drift += (limited - drift) * driftShare * sampleWeight;
    double kept = 1 - sampleWeight / (memory + sampleWeight);
    if (weight > minDriftWeight && std::abs(drift) > driftLimit * std::max(deviation, minDeviation)) {
        kept = keptOnChange;
        drift = 0;
    }
    weight *= kept;
    varianceX *= kept;
    covariance *= kept;
    const double used = predicted + limited;
    const double total = weight + sampleWeight;
    const double dx = x - meanX;
    const double dy = used - meanY;
    meanX += dx * sampleWeight / total;
    meanY += dy * sampleWeight / total;
    varianceX += dx * dx * weight * sampleWeight / total;
    covariance += dx * dy * weight * sampleWeight / total;
    weight = total;
}

void RunTimes::Advantage::add(double difference, double weight)
{
    sum = sum * (1 - weight / (comparedSamples + weight)) + std::clamp(difference, -maxLoss, maxLoss) * weight;
}

double RunTimes::Advantage::share() const
{
    return 1 / (1 + std::exp(-learningRate * sum));
}

std::size_t RunTimes::KindHash::operator()(const TaskKind& it) const
{
    const std::hash<std::string> hash;
    const std::size_t flags = it.step * 4 + (it.isGang ? 2 : 0) + (it.isNearData ? 1 : 0);
    return combine(combine(hash(it.queue), hash(it.team.value())), combine(hash(it.image), flags));
}

void RunTimes::Queue::update()
{
    std::vector<double> atLow;
    std::vector<double> atHigh;
    std::vector<double> advantages;
    for (const auto& [id, level] : teams) {
        if (level.fit.weight < minTeamWeight)
            continue;
        // Shrinking towards the median here would let a team count for more than itself.
        const Line own = level.fit.shrunkTo({});
        atLow.push_back(own.at(lowX));
        atHigh.push_back(own.at(highX));
        advantages.push_back(level.advantage.sum);
    }
    if (atLow.empty())
        return;
    const double share = double(atLow.size()) / double(atLow.size() + 1);
    const double low = lowX + (medianOf(atLow) - lowX) * share;
    const double high = highX + (medianOf(atHigh) - highX) * share;
    line.slope = (high - low) / (highX - lowX);
    line.offset = low - line.slope * lowX;
    advantage = medianOf(advantages) * share;
}

RunTimes::RunTimes(std::size_t maxKinds)
    : m_maxKinds(std::max(maxKinds, shareOfTeam))
{
}

RunTimes::Prediction RunTimes::predict(const TaskKind& kind) const
{
    Prediction it;
    double advantage = 0;
    if (const auto queue = m_queues.find(kind.queue); queue != m_queues.end()) {
        it.ofTeam = queue->second.line;
        advantage = queue->second.advantage;
    }
    const auto inherit = [&advantage](const Level& level) {
        advantage = level.advantage.sum + advantage * priorSamples / (level.fit.weight + priorSamples);
    };
    if (const Level* team = teamLevelOf(kind)) {
        it.ofTeam = team->fit.shrunkTo(it.ofTeam);
        inherit(*team);
    }
    it.ofKind = it.ofTeam;
    if (const auto found = m_kinds.find(kind); found != m_kinds.end()) {
        it.ofKind = found->second.level.fit.shrunkTo(it.ofTeam);
        inherit(found->second.level);
    }
    it.learnedShare = Advantage { advantage }.share();
    return it;
}

const RunTimes::Level* RunTimes::teamLevelOf(const TaskKind& kind) const
{
    const auto queue = m_queues.find(kind.queue);
    if (queue == m_queues.end())
        return nullptr;
    const auto team = queue->second.teams.find(kind.team);
    return team == queue->second.teams.end() ? nullptr : &team->second;
}

const RunTimes::Level* RunTimes::residualLevelOf(const TaskKind& kind) const
{
    const auto found = m_kinds.find(kind);
    const bool isKnown = found != m_kinds.end() && found->second.level.fit.weight >= minDriftWeight;
    return isKnown ? &found->second.level : teamLevelOf(kind);
}

Expectation RunTimes::expect(const TaskKind& kind, core::Duration declared) const
{
    const Prediction prediction = predict(kind);
    Expectation it;
    it.logMedian = prediction.at(logSecondsOf(declared));
    const auto found = m_kinds.find(kind);
    it.samples = found == m_kinds.end() ? 0 : found->second.level.fit.weight;
    it.learnedShare = m_queues.contains(kind.queue) ? prediction.learnedShare : 0;
    if (const Level* level = residualLevelOf(kind)) {
        it.residuals = level->residuals;
        it.longestOfStep = std::max(level->longest.quantile(cautiousQuantile), 0.0);
    }
    return it;
}

Expectation RunTimes::expect(const TaskKind& kind, core::Duration declared, const StepRuns& step) const
{
    Expectation it = expect(kind, declared);
    if (!step.done || step.done->count() == 0)
        return it;
    const std::size_t done = step.done->count();
    const StepSample::Summary known = step.done->summary();
    const double length = known.mean + shortnessOf(done, done + step.running) * deviationInStep;
    const double deviation = std::max(deviationInStep, known.deviation);
    const double ofStep = deviation * deviation;
    constexpr double ofKind = deviationOfSteps * deviationOfSteps;
    const double share = ofKind / (ofKind + ofStep / double(done));
    it.logMedian += (length - it.logMedian) * share;
    it.learnedShare = std::max(it.learnedShare, share);
    return it;
}

void RunTimes::onCompleted(const TaskKind& kind, const RunSample& run)
{
    if (run.runTime <= core::Duration(0))
        return;
    const double weight = 1.0 / double(std::max<std::uint32_t>(run.tasksOfStep, 1));
    learn(kind, logSecondsOf(run.declared), logSecondsOf(run.runTime) + run.speed.value(), weight);
}

void RunTimes::onStepDone(const TaskKind& kind, const StepSample& step)
{
    const auto queue = m_queues.find(kind.queue);
    if (step.count() < 2 || queue == m_queues.end())
        return;
    const double ratio = step.longest() - step.summary().mean;
    queue->second.teams[kind.team].longest.add(ratio, 1, memory);
    touch(kind).level.longest.add(ratio, 1, memory);
}

void RunTimes::onStillRunning(const TaskKind& kind, const RunSample& run)
{
    const double x = logSecondsOf(run.declared);
    const double y = logSecondsOf(run.runTime) + run.speed.value();
    if (y <= predict(kind).at(x))
        return;
    learn(kind, x, y, censoredWeight / double(std::max<std::uint32_t>(run.tasksOfStep, 1)));
}

void RunTimes::learn(const TaskKind& kind, double x, double y, double weight)
{
    const Prediction before = predict(kind);
    makeRoom(m_queues, maxQueues);
    Queue& queue = m_queues[kind.queue];
    makeRoom(queue.teams, maxTeams);
    const double residual = y - before.at(x);
    const auto update = [x, y, weight, residual](Level& level, const Line& line) {
        level.advantage.add(std::abs(y - x) - std::abs(y - line.at(x)), weight);
        level.fit.add(x, y, line.at(x), weight);
        level.residuals.add(residual, weight, memory);
    };
    update(touch(kind).level, before.ofKind);
    update(queue.teams[kind.team], before.ofTeam);
    if (queue.samplesToUpdate-- == 0) {
        queue.update();
        queue.samplesToUpdate = unsigned(queue.teams.size());
    }
}

RunTimes::Kind& RunTimes::touch(const TaskKind& kind)
{
    if (const auto found = m_kinds.find(kind); found != m_kinds.end()) {
        m_recent.splice(m_recent.begin(), m_recent, found->second.recent);
        auto& ofTeam = m_recentOfTeam[kind.team];
        ofTeam.splice(ofTeam.begin(), ofTeam, found->second.recentOfTeam);
        return found->second;
    }
    const auto team = m_recentOfTeam.find(kind.team);
    // Without teams all kinds have the same, empty team.
    const bool isTeamFull
        = !kind.team.value().empty() && team != m_recentOfTeam.end() && team->second.size() >= m_maxKinds / shareOfTeam;
    if (isTeamFull)
        forget(*team->second.back());
    else if (m_kinds.size() >= m_maxKinds)
        forget(*m_recent.back());
    const auto added = m_kinds.try_emplace(kind).first;
    auto& ofTeam = m_recentOfTeam[kind.team];
    ofTeam.push_front(&added->first);
    m_recent.push_front(&added->first);
    added->second.recentOfTeam = ofTeam.begin();
    added->second.recent = m_recent.begin();
    return added->second;
}

void RunTimes::forget(const TaskKind& kind)
{
    const auto found = m_kinds.find(kind);
    const auto team = m_recentOfTeam.find(kind.team);
    m_recent.erase(found->second.recent);
    team->second.erase(found->second.recentOfTeam);
    if (team->second.empty())
        m_recentOfTeam.erase(team);
    m_kinds.erase(found);
}

} // namespace sardinerun::estimation
