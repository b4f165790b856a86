#pragma once

#include "estimation/expectation.h"
#include "estimation/workerspeeds.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace sardinerun::estimation {

//! Tasks whose run times are similar.
struct TaskKind {
    std::string queue;
    core::TeamId team;
    std::string image;
    std::uint32_t step = 0; //!< index
    bool isGang = false;
    bool isNearData = true; //!< the worker is in the rack of the task's data, or the task has none

    bool operator==(const TaskKind&) const = default;
};

//! A run as seen by the estimation.
struct RunSample {
    core::Duration declared {}; //!< estimate of the caller
    core::Duration runTime {};
    LogSpeed speed { 0 }; //!< of its worker
    std::uint32_t tasksOfStep = 1; //!< tasks of one step are similar, so all of them count as one sample
};

//! Progress of the tasks of one step.
struct StepRuns {
    const StepSample* done = nullptr;
    std::uint32_t tasks = 1;
    std::uint32_t running = 0;
};

//! Learns the run times of tasks from the runs of the same kind, queue and team.
//!
//! Each kind has a regression of the logarithm of the real time on that of the declared one. With few samples it
//! shrinks towards that of its team in the queue, this towards the median of the queue's teams, and this towards the
//! declared estimate. A median, as one team that declares nonsense must not change what is expected of others. The
//! better of the declared estimate and the regression for the last runs of the kind gets the weight. Old samples lose
//! weight by newer ones and not by time, so no clock is needed.
class RunTimes {
public:
    //! With more kinds, the one that was used least recently is forgotten. No team has more than an eighth of them.
    explicit RunTimes(std::size_t maxKinds = 16'384);

    //! Returns the distribution for a task of which no sibling is known.
    Expectation expect(const TaskKind& kind, core::Duration declared) const;
    //! Returns the distribution for a task, also from what is known of the other tasks of its step.
    Expectation expect(const TaskKind& kind, core::Duration declared, const StepRuns& step) const;
    //! Records a run that was completed from its beginning.
    void onCompleted(const TaskKind& kind, const RunSample& run);
    //! Records a step of several tasks, all of which are done.
    void onStepDone(const TaskKind& kind, const StepSample& step);
    //! Records a run that still goes on after `run.runTime`. Changes nothing unless that is longer than expected.
    void onStillRunning(const TaskKind& kind, const RunSample& run);

    std::size_t kinds() const { return m_kinds.size(); }

private:
    //! Linear function of the logarithm of the declared time.
    struct Line {
        double offset = 0;
        double slope = 1;
        double at(double x) const { return offset + slope * x; }
    };
    //! Weighted regression with forgetting.
    struct Fit {
        double weight = 0;
        double meanX = 0;
        double meanY = 0;
        double varianceX = 0; //!< times the weight
        double covariance = 0; //!< times the weight
        double deviation; //!< mean absolute residual
        double drift = 0; //!< mean of the newest residuals

        Fit();
        //! Returns the line that shrinks towards `prior` while there are few samples.
        Line shrunkTo(const Line& prior) const;
        void add(double x, double y, double predicted, double sampleWeight);
    };
    //! By how much the declared estimate was recently worse than the regression, as a sum of absolute errors.
    struct Advantage {
        double sum = 0;
        void add(double difference, double weight);
        double share() const;
    };
    struct Level {
        Fit fit;
        Advantage advantage;
        Residuals residuals;
        Residuals longest; //!< of the longest tasks of steps over the mean of their steps
    };
    struct Kind {
        Level level;
        std::list<const TaskKind*>::iterator recentOfTeam;
        std::list<const TaskKind*>::iterator recent;
    };
    struct KindHash {
        std::size_t operator()(const TaskKind& it) const;
    };
    struct Queue {
        std::unordered_map<core::TeamId, Level> teams;
        Line line; //!< median of the teams
        double advantage = 0; //!< median of the teams
        unsigned samplesToUpdate = 0; //!< until the medians are computed again

        void update();
    };
    //! What the levels above a kind and the kind itself say about a task.
    struct Prediction {
        Line ofTeam;
        Line ofKind;
        double learnedShare = 0;
        double at(double x) const { return learnedShare * ofKind.at(x) + (1 - learnedShare) * x; }
    };

    Prediction predict(const TaskKind& kind) const;
    const Level* teamLevelOf(const TaskKind& kind) const;
    //! Returns the narrowest level with enough samples for its residuals; null if there is none.
    const Level* residualLevelOf(const TaskKind& kind) const;
    void learn(const TaskKind& kind, double x, double y, double weight);
    Kind& touch(const TaskKind& kind);
    void forget(const TaskKind& kind);

    std::size_t m_maxKinds;
    std::unordered_map<TaskKind, Kind, KindHash> m_kinds;
    std::unordered_map<std::string, Queue> m_queues;
    std::list<const TaskKind*> m_recent; //!< newest first
    std::unordered_map<core::TeamId, std::list<const TaskKind*>> m_recentOfTeam;
};

} // namespace sardinerun::estimation
