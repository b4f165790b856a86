#pragma once

#include "fleet/iworkerorders.h"
#include "lead/election.h"
#include "lead/leaderlog.h"
#include "runtime/iloop.h"
#include "scheduling/advicequeue.h"
#include "scheduling/schedulingtypes.h"
#include "store/irowstore.h"
#include "teams/ratelimiter.h"
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
    lead::LeaderTimes leaderTimes;
    teams::RatePolicy ratePolicy;
    LearnedUses learnedUses;
};

//! Callbacks of the engine.
struct EngineHooks {
    std::function<void(const std::string& why)> leadershipLost; //!< the engine has stopped
    std::function<void()> rejectedByStore = [] {}; //!< the store rejects this node, but may serve others
};

class Engine;
using EnginePtr = std::shared_ptr<Engine>;

//! State and decisions of the leader for one term: all jobs and all workers.
//!
//! Recovers the persisted jobs of former leaders, adopts the tasks that run on the workers, answers calls about jobs,
//! and starts tasks. Everything runs on one loop.
class Engine {
public:
    using AnswerCallback = std::function<void(const workflow::WorkflowResult&)>;

    static EnginePtr create(EngineDependencies dependencies, const lead::WonElection& won, EngineHooks hooks);
    virtual ~Engine() = default;

    virtual void start() = 0;
    virtual void setConfig(workflow::QueueConfigPtr config) = 0;
    //! Sets the workers that are listed in the registry.
    virtual void setWorkers(const std::vector<fleet::WorkerEntry>& entries) = 0;
    //! Calls back once. A callback that is dropped when the engine ends has an uncertain outcome.
    virtual void handle(const workflow::WorkflowCall& call, AnswerCallback callback) = 0;
    //! Persists all pending changes, releases the leadership, and then calls `done`.
    virtual void release(bool isOverloaded, std::function<void()> done) = 0;
    //! Sets how late the loop's timers are. While they are too late, new jobs are refused.
    virtual void setLoopLateness(core::Duration lateness) = 0;
    //! Returns the time until which this leader's orders cannot collide with those of another leader.
    virtual core::TimePoint authorityUntil() const = 0;
    //! Sets until when it is known, without authority, that no other node gives orders. Leases are extended until then.
    virtual void setUnreplacedUntil(core::TimePoint until) = 0;
    //! Notifies the engine that the former leader sends no more orders.
    virtual void setFormerLeaderGone() = 0;
};

} // namespace sardinerun::scheduling
