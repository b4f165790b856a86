#pragma once

#include "fleet/testing/fakeworkers.h"
#include "standins/control.h"

#include <set>

namespace sardinerun::standins {

//! The workers of the users' platform over HTTP: fences, leases, ends that are listed until they are kept. Tasks work
//! for the milliseconds that their payload names. Notes what must not happen: a task that runs twice.
class TasksStandin {
public:
    explicit TasksStandin(const runtime::EventLoopPtr& loop);

    //! Answers for one worker.
    void handle(const core::VmId& id, const http::Request& request, http::Responder responder);
    fleet::testing::FakeWorker& worker(const core::VmId& id) { return m_workers->workers[id]; }
    //! Starts carried out and the jobs that they were of, tasks that ran twice, tasks whose end was kept.
    Json::Value stats() const;

private:
    void start(const core::VmId& id, const Json::Value& body, http::Responder responder);
    void stop(const core::VmId& id, const Json::Value& body, http::Responder responder);
    void renewLease(const core::VmId& id, const Json::Value& body, http::Responder responder);
    std::function<void(fleet::OrderResult)> answerTo(http::Responder responder);
    void refuse(const fleet::OrderFailure& failure, http::Responder responder);
    void onStarted(fleet::testing::FakeWorker& at, const fleet::StartOrder& order);
    bool runsElsewhere(const fleet::testing::FakeWorker& at, const fleet::TaskId& task) const;

    runtime::EventLoopPtr m_loop;
    std::shared_ptr<fleet::testing::FakeWorkers> m_workers;
    std::vector<http::Responder> m_unanswered;
    std::set<fleet::TaskId> m_done;
    std::set<core::JobId> m_startedJobs;
    std::vector<std::string> m_twice;
    std::uint64_t m_starts = 0;
};

} // namespace sardinerun::standins
