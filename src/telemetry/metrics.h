#pragma once

#include <map>
#include <memory>
#include <string>

namespace sardinerun::telemetry {

//! All metrics of the program. docs/OPERATIONS.md describes them.
enum class Metric {
    Requests,
    RequestSeconds,
    RequestWaitSeconds,
    RequestsInProgress,
    LateAnswers,
    JobsAccepted,
    JobsRefused,
    JobsPlaced,
    JobWaitSeconds,
    TasksPlaced,
    TasksSucceeded,
    TasksFailed,
    TasksPreempted,
    AttemptsLost,
    JobsWaiting,
    OldestWaitSeconds,
    Workers,
    CapacityMilliCpu,
    PartitionsOwned,
    SlotShares,
    ConfigVersion,
    StoreUp,
    LogGroups,
    InnerMessages,
    InnerBytes,
    ProcessCpuSeconds,
    ProcessMemoryBytes,
    WorkAccepted,
    WorkRefused,
    WorkAcceptSeconds,
    WorkStartSeconds,
    WorkJobSeconds,
    WorkStarts,
    WorkStepsWaiting,
    WorkCores,
    WorkRoundSeconds,
    WorkRunTimeSamples,
    WorkRunTimeError,
    WorkRunTimeDecisions,
    WorkRunTimeKinds,
    WorkWritesRejected,
    WorkRecordsUnreadable,
    TeamCores,
    TeamTasksWaiting,
    TeamShare,
    TeamRefused,
    TeamExcess,
    Leading,
    LogLinesDropped,
    HttpConnections,
    HttpUnfinishedBytes,
    HttpServedBytes,
    HttpRefused,
    HttpClosed,
    HttpAnswersCut,
    ProcessDescriptors
};

using Labels = std::map<std::string, std::string>;

class Metrics;
using MetricsPtr = std::shared_ptr<Metrics>;

//! Registry of metrics. Thread-safe.
class Metrics {
public:
    static MetricsPtr create();
    ~Metrics();

    void add(Metric metric, const Labels& labels, double amount = 1);
    void set(Metric metric, const Labels& labels, double value);
    void observe(Metric metric, const Labels& labels, double value);

    //! Returns the value of the label `team` for a team: its name for the first 32 teams that are asked for, and
    //! "(others)" for all further ones, so that the number of series is bounded.
    std::string teamLabel(const std::string& team);

    //! Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    Metrics();
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace sardinerun::telemetry
