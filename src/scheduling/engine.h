#pragma once

#include "fleet/iworkerorders.h"
#include "lead/election.h"
#include "lead/leaderlog.h"
#include "runtime/iloop.h"
#include "scheduling/advicequeue.h"
#include "scheduling/schedulingtypes.h"
#include "store/irowstore.h"
#include "telemetry/metrics.h"
#include "workflow/workflowtypes.h"

#include <functional>
#include <memory>

namespace sardinerun::scheduling {

struct EngineDependencies {
    runtime::ILoopPtr loop;
    store::IRowStorePtr store;
    fleet::IWorkerOrdersPtr orders;
    AdviceQueuePtr advice;
    telemetry::MetricsPtr metrics;
    SchedulingTimes times;
    lead::LeaderTimes leadTimes;
};

//! What an engine tells its owner.
struct EngineHooks {
    std::function<void(const std::string& why)> leadershipLost; //!< the leadership is over
    std::function<void()> rejectedByStore = [] {}; //!< the store turns this node away, but may serve others
};

class Engine;
using EnginePtr = std::shared_ptr<Engine>;

//! The leader's state: all jobs and all workers, from the moment a leadership was won until it is over.
//!
//! It takes over what former leaders have kept and what runs on the workers, answers calls about jobs, and starts
//! tasks. All of it happens on one loop.
class Engine {
public:
    using Answered = std::function<void(const workflow::WorkflowResult&)>;

    static EnginePtr create(EngineDependencies dependencies, const lead::WonElection& won, EngineHooks hooks);
    virtual ~Engine() = default;

    virtual void start() = 0;
    virtual void setConfig(workflow::QueueConfigPtr config) = 0;
    //! All workers that the register lists.
    virtual void setWorkers(const std::vector<fleet::WorkerEntry>& entries) = 0;
    virtual void handle(const workflow::WorkflowCall& call, Answered answered) = 0;
    //! Keeps all there is, gives the leadership back, and calls back.
    virtual void release(bool isOverloaded, std::function<void()> done) = 0;
    //! The former leader is known to have stopped giving orders.
    virtual void setFormerLeaderGone() = 0;
};

} // namespace sardinerun::scheduling
