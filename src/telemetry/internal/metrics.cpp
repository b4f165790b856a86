#include "telemetry/metrics.h"

#include <array>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <sstream>

namespace sardinerun::telemetry {

namespace {

enum class Kind { Counter, Gauge, Histogram };

struct Definition {
    Metric metric;
    Kind kind;
    const char* name;
    const char* help;
};

//! In the order of enum Metric, which is the index. tests/docs_tests.py reads the names from this table.
constexpr std::array<Definition, 56> definitions { {
    { Metric::Requests, Kind::Counter, "sardinerun_requests_total", "Requests to services by outcome" },
    { Metric::RequestSeconds, Kind::Histogram, "sardinerun_request_seconds", "Time from a request to its answer" },
    { Metric::RequestWaitSeconds, Kind::Histogram, "sardinerun_request_wait_seconds", "Time until a slot was free" },
    { Metric::RequestsInProgress, Kind::Gauge, "sardinerun_requests_in_progress", "Requests at runners now" },
    { Metric::LateAnswers, Kind::Counter, "sardinerun_late_answers_total", "Answers that nobody waited for any more" },
    { Metric::JobsAccepted, Kind::Gauge, "sardinerun_jobs_accepted", "Jobs accepted by the partitions owned now" },
    { Metric::JobsRefused, Kind::Gauge, "sardinerun_jobs_refused", "Jobs refused by the partitions owned now" },
    { Metric::JobsPlaced, Kind::Gauge, "sardinerun_jobs_placed", "Jobs whose first task was placed" },
    { Metric::JobWaitSeconds, Kind::Gauge, "sardinerun_job_wait_seconds_sum", "Time from acceptance to that, summed" },
    { Metric::TasksPlaced, Kind::Gauge, "sardinerun_tasks_placed", "Attempts started by the partitions owned now" },
    { Metric::TasksSucceeded, Kind::Gauge, "sardinerun_tasks_succeeded", "Tasks that succeeded" },
    { Metric::TasksFailed, Kind::Gauge, "sardinerun_tasks_failed", "Tasks that failed for good" },
    { Metric::TasksPreempted, Kind::Gauge, "sardinerun_tasks_preempted", "Attempts stopped to give a share back" },
    { Metric::AttemptsLost, Kind::Gauge, "sardinerun_attempts_lost", "Attempts lost with their workers" },
    { Metric::JobsWaiting, Kind::Gauge, "sardinerun_jobs_waiting", "Jobs with tasks that wait for a worker" },
    { Metric::OldestWaitSeconds, Kind::Gauge, "sardinerun_oldest_wait_seconds", "Age of the oldest of them" },
    { Metric::Workers, Kind::Gauge, "sardinerun_workers", "Workers of the partitions owned now, by state" },
    { Metric::CapacityMilliCpu, Kind::Gauge, "sardinerun_capacity_milli_cpu", "Processors of these workers" },
    { Metric::PartitionsOwned, Kind::Gauge, "sardinerun_partitions_owned", "Partitions that this node owns" },
    { Metric::SlotShares, Kind::Gauge, "sardinerun_slot_shares", "Shares of the runners' slots that this node holds" },
    { Metric::ConfigVersion, Kind::Gauge, "sardinerun_config_version", "Version of the configuration" },
    { Metric::StoreUp, Kind::Gauge, "sardinerun_store_up", "1 when the platform's store answered last" },
    { Metric::LogGroups, Kind::Gauge, "sardinerun_log_groups", "Groups written by the partitions owned now" },
    { Metric::InnerMessages, Kind::Counter, "sardinerun_inner_messages_total", "Messages between nodes" },
    { Metric::InnerBytes, Kind::Counter, "sardinerun_inner_bytes_total", "Bytes of messages between nodes" },
    { Metric::ProcessCpuSeconds, Kind::Gauge, "sardinerun_process_cpu_seconds", "Processor time of the process" },
    { Metric::ProcessMemoryBytes, Kind::Gauge, "sardinerun_process_memory_bytes", "Resident memory of the process" },
    { Metric::WorkAccepted, Kind::Counter, "sardinerun_work_accepted_total", "Workflows accepted by this leader" },
    { Metric::WorkRefused, Kind::Counter, "sardinerun_work_refused_total", "Workflows refused by this leader" },
    { Metric::WorkAcceptSeconds, Kind::Histogram, "sardinerun_work_accept_seconds", "Time until a workflow is kept" },
    { Metric::WorkStartSeconds, Kind::Histogram, "sardinerun_work_start_seconds", "Time until its first task runs" },
    { Metric::WorkJobSeconds, Kind::Histogram, "sardinerun_work_job_seconds", "Time until its end is kept" },
    { Metric::WorkStarts, Kind::Counter, "sardinerun_work_starts_total", "Starts ordered by this leader" },
    { Metric::WorkStepsWaiting, Kind::Gauge, "sardinerun_work_steps_waiting", "Steps with tasks that wait for room" },
    { Metric::WorkCores, Kind::Gauge, "sardinerun_work_cores", "Cores of the workers that accept starts, by state" },
    { Metric::WorkRoundSeconds, Kind::Gauge, "sardinerun_work_round_seconds", "Longest scheduling round lately" },
    { Metric::WorkRunTimeSamples, Kind::Counter, "sardinerun_work_runtime_samples_total",
        "Runs that were learned from" },
    { Metric::WorkRunTimeError, Kind::Counter, "sardinerun_work_runtime_error_total", "Sum of absolute log errors" },
    { Metric::WorkRunTimeDecisions, Kind::Counter, "sardinerun_work_runtime_decisions_total", "Accepted by run times" },
    { Metric::WorkRunTimeKinds, Kind::Gauge, "sardinerun_work_runtime_kinds", "Kinds of tasks that are remembered" },
    { Metric::WorkWritesRejected, Kind::Counter, "sardinerun_work_writes_rejected_total", "Rows rejected for good" },
    { Metric::WorkRecordsUnreadable, Kind::Gauge, "sardinerun_work_records_unreadable", "Jobs with unreadable rows" },
    { Metric::TeamCores, Kind::Gauge, "sardinerun_team_cores", "Cores that a team's tasks use, and its cap" },
    { Metric::TeamTasksWaiting, Kind::Gauge, "sardinerun_team_tasks_waiting", "Tasks of a team that wait to start" },
    { Metric::TeamShare, Kind::Gauge, "sardinerun_team_share", "Dominant share of the fleet that a team's tasks use" },
    { Metric::TeamRefused, Kind::Counter, "sardinerun_team_refused_total", "Workflows of a team refused, by reason" },
    { Metric::TeamExcess, Kind::Counter, "sardinerun_team_excess_total", "Workflows accepted beyond a team's rate" },
    { Metric::Leading, Kind::Gauge, "sardinerun_leading", "1 while this node leads" },
    { Metric::LogLinesDropped, Kind::Gauge, "sardinerun_log_lines_dropped", "Log lines that found no room" },
    { Metric::HttpConnections, Kind::Gauge, "sardinerun_http_connections", "Connections accepted and open" },
    { Metric::HttpUnfinishedBytes, Kind::Gauge, "sardinerun_http_unfinished_bytes", "Bytes of unfinished requests" },
    { Metric::HttpServedBytes, Kind::Gauge, "sardinerun_http_served_bytes",
        "Bytes of requests and answers in service" },
    { Metric::HttpRefused, Kind::Counter, "sardinerun_http_refused_total", "Requests refused for lack of memory" },
    { Metric::HttpClosed, Kind::Counter, "sardinerun_http_closed_total", "Connections closed by reason" },
    { Metric::HttpAnswersCut, Kind::Gauge, "sardinerun_http_answers_cut", "Answers of others that were too large" },
    { Metric::ProcessDescriptors, Kind::Gauge, "sardinerun_process_descriptors", "Open descriptors of the process" },
} };

const Definition& definitionOf(Metric metric)
{
    return definitions[static_cast<std::size_t>(metric)];
}

constexpr std::size_t maxNamedTeams = 32;
constexpr const char* otherTeams = "(others)";

const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
    0.5, 1, 2, 5, 10, 30 };

} // namespace

struct Metrics::State {
    prometheus::Registry registry;
    std::mutex mutex;
    std::set<std::string> namedTeams; //!< protected by `mutex`
};

MetricsPtr Metrics::create()
{
    return MetricsPtr(new Metrics);
}

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(Metric metric, const Labels& labels, double amount)
{
    const Definition& it = definitionOf(metric);
    prometheus::BuildCounter().Name(it.name).Help(it.help).Register(m_state->registry).Add(labels).Increment(amount);
}

void Metrics::set(Metric metric, const Labels& labels, double value)
{
    const Definition& it = definitionOf(metric);
    prometheus::BuildGauge().Name(it.name).Help(it.help).Register(m_state->registry).Add(labels).Set(value);
}

void Metrics::observe(Metric metric, const Labels& labels, double value)
{
    const Definition& it = definitionOf(metric);
    auto& family = prometheus::BuildHistogram().Name(it.name).Help(it.help).Register(m_state->registry);
    family.Add(labels, secondsBuckets).Observe(value);
}

std::string Metrics::teamLabel(const std::string& team)
{
    const std::lock_guard lock(m_state->mutex);
    if (m_state->namedTeams.size() < maxNamedTeams)
        m_state->namedTeams.insert(team);
    return m_state->namedTeams.contains(team) ? team : otherTeams;
}

std::string Metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_state->registry.Collect());
    return out.str();
}

} // namespace sardinerun::telemetry
