#pragma once

#include "fleet/testing/fakeworkers.h"
#include "standins/control.h"

#include <map>
#include <set>

namespace sardinerun::standins {

//! Serves the workers of the users' platform over HTTP: fences, leases, and ends of runs that are reported until they
//! are acknowledged. A task runs for the number of milliseconds in its payload. Records tasks that ran twice.
class TasksStandin {
public:
    explicit TasksStandin(const runtime::EventLoopPtr& loop);

    //! Handles a request to one worker.
    void handle(const core::VmId& id, const http::Request& request, http::Responder responder);
    //! Keeps the request open for ever.
    void leaveUnanswered(http::Responder responder);
    fleet::testing::FakeWorker& worker(const core::VmId& id) { return m_workers->workers[id]; }
    //! Returns the number of starts and the jobs that they belong to, the tasks that ran twice, the number of tasks
    //! with an acknowledged end, the number of running tasks, these tasks, the workers that run them, and the highest
    //! fence.
    Json::Value stats() const;

private:
    void start(const core::VmId& id, const Json::Value& body, http::Responder responder);
    void stop(const core::VmId& id, const Json::Value& body, http::Responder responder);
    void renewLease(const core::VmId& id, const Json::Value& body, http::Responder responder);
    std::function<void(fleet::OrderResult)> resultHandler(const core::VmId& id, http::Responder responder);
    void sendRejection(const core::VmId& id, const fleet::OrderFailure& failure, http::Responder responder);
    void onStarted(fleet::testing::FakeWorker& worker, const fleet::StartOrder& order);
    void onDoneAcknowledged(const fleet::RunId& run);
    bool isRunningElsewhere(const fleet::testing::FakeWorker& worker, const fleet::TaskId& task) const;

    //! A run that has ended as done and whose end is not acknowledged.
    struct DoneRun {
        const fleet::testing::FakeWorker* worker;
        std::int64_t workerClock; //!< when it ended, by the clock of the worker
        core::TimePoint at;
    };

    runtime::EventLoopPtr m_loop;
    std::shared_ptr<fleet::testing::FakeWorkers> m_workers;
    std::vector<http::Responder> m_unanswered;
    std::set<fleet::TaskId> m_completedTasks;
    std::map<fleet::RunId, DoneRun> m_doneRuns;
    std::map<fleet::TaskId, core::TimePoint> m_lastStarts;
    std::set<core::JobId> m_startedJobs;
    std::vector<std::string> m_tasksRunTwice;
    std::uint64_t m_starts = 0;
};

} // namespace sardinerun::standins
