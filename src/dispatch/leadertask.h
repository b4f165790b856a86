#pragma once

#include "dispatch/dispatchtypes.h"
#include "dispatch/lagmeter.h"
#include "fleet/iworkerorders.h"
#include "fleet/iworkerregistry.h"
#include "http/ihttpclient.h"
#include "scheduling/engine.h"

#include <functional>

namespace sardinerun::dispatch {

struct LeaderTaskDependencies {
    store::IRowStorePtr store;
    fleet::IWorkerOrdersPtr orders;
    std::function<fleet::IWorkerRegistryPtr()> makeRegistry;
    http::IHttpClientPtr client; //!< for other nodes
    telemetry::MetricsPtr metrics;
    core::NodeId self;
    core::HostPort address; //!< for other nodes
    core::Duration candidacyDelay {}; //!< of this node in elections
    scheduling::SchedulingTimes times;
    lead::LeaderTimes leadTimes;
    std::function<void(const LeaderUpdate&)> news;
};

//! Takes part in the election; owns the engine and the watch of the register while this node leads.
class LeaderTask : public runtime::Task<LeaderMessage> {
public:
    static std::shared_ptr<LeaderTask> create(runtime::ILoopPtr loop, LeaderTaskDependencies dependencies);
    LeaderTask(runtime::ILoopPtr loop, LeaderTaskDependencies dependencies);

    void start();
    void receive(LeaderMessage message) override;

private:
    void onLeader(const std::optional<lead::LeaderRow>& leader);
    void onWon(const lead::WonElection& won);
    void onLeadershipLost(const std::string& why);
    void endLeadership();
    //! Asks a node what it knows; a leader tells it of its term by that.
    void askNode(const core::HostPort& node, bool isRejectedByStore,
        std::function<void(const std::optional<protocol::LeaderHint>&)> answered);
    void inviteOthers();
    //! Gives the leadership back when this VM is too slow for it, so that another node takes it.
    void checkLag();
    void askFormer(const core::HostPort& former, core::Epoch term);
    //! Asks other nodes who leads, while the store does not tell.
    void lookForLeader();
    void tellNews(const std::optional<lead::LeaderRow>& leader);
    protocol::AdviceAssignment withNodes(protocol::AdviceAssignment turn);
    void take(LeaderCall message);
    void take(PollAdvice message);
    void take(workflow::QueueConfigPtr config);
    void take(StepDown message);
    void take(LeaderQuery message);
    void take(KnownNodes message);
    void take(LeaderSuspected message);

    LeaderTaskDependencies m_dependencies;
    lead::ElectionPtr m_election;
    scheduling::EnginePtr m_engine;
    scheduling::AdviceQueuePtr m_advice;
    fleet::IWorkerRegistryPtr m_registry;
    workflow::QueueConfigPtr m_config;
    std::optional<lead::LeaderRow> m_leader; //!< the last one that was seen
    core::Epoch m_term; //!< of this node's leadership
    LagMeter m_lag;
    core::TimePoint m_mayYieldAt {}; //!< when it may give the leadership back for want of processor
    bool m_isYielding = false;
    std::optional<lead::LeaderRow> m_told; //!< the leader that the other tasks know
    bool m_isSuspected = false; //!< that leader does not answer
    std::vector<core::HostPort> m_nodes; //!< others that may know the leader
    std::size_t m_nextNode = 0; //!< to be asked
    std::map<core::HostPort, core::TimePoint> m_adviceProxies; //!< while leading: nodes that lend turns, and when last
};

using LeaderTaskPtr = std::shared_ptr<LeaderTask>;

} // namespace sardinerun::dispatch
