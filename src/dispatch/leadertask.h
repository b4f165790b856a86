#pragma once

#include "dispatch/dispatchtypes.h"
#include "dispatch/lagmeter.h"
#include "dispatch/vmspeed.h"
#include "dispatch/yieldpolicy.h"
#include "fleet/iworkerorders.h"
#include "fleet/iworkerregistry.h"
#include "http/ihttpclient.h"
#include "scheduling/engine.h"

#include <functional>
#include <set>

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
    core::MilliCpu vmCpu; //!< of this VM; 0: unknown
    scheduling::SchedulingTimes times;
    lead::LeaderTimes leaderTimes;
    teams::RatePolicy ratePolicy;
    scheduling::LearnedUses learnedUses;
    std::function<void(const LeaderUpdate&)> update; //!< called when the known leader changes
    //! Called with the nodes that the leader has named.
    std::function<void(const KnownNodes&)> nodesKnown = [](const KnownNodes&) {};
};

//! Takes part in the election; owns the engine and the worker registry while this node leads.
class LeaderTask : public runtime::Task<LeaderMessage> {
public:
    static std::shared_ptr<LeaderTask> create(runtime::ILoopPtr loop, LeaderTaskDependencies dependencies);
    LeaderTask(runtime::ILoopPtr loop, LeaderTaskDependencies dependencies);

    void start();
    void receive(LeaderMessage message) override;

private:
    void onLeader(const std::optional<lead::LeaderRow>& leader);
    void onWon(const lead::WonElection& won);
    void logWon(const lead::WonElection& won) const;
    void onLeadershipLost(const std::string& why);
    void endLeadership();
    //! Asks a node which leader it has recorded; if this node leads, the query also announces its term.
    void queryNode(const core::HostPort& node, bool isRejectedByStore,
        std::function<void(const std::optional<protocol::LeaderHint>&)> callback);
    void inviteOthers();
    //! Asks the other nodes, while this node leads without authority, whether one of them leads.
    void checkReplacement();
    void onReplacementAnswer(
        const core::HostPort& node, core::TimePoint askedAt, const std::optional<protocol::LeaderHint>& hint);
    //! Measures the load of this VM. A leader that is overloaded rejects new work, or releases the leadership.
    void checkLoad();
    void yieldLeadership();
    void sampleSpeed();
    void queryFormerLeader(const core::HostPort& former, core::Epoch term);
    //! Asks the next of the other nodes for the leader while none is known or the known one is suspected.
    void queryNextNode();
    void publishLeader(const std::optional<lead::LeaderRow>& leader);
    protocol::AdviceAssignment withKnownNodes(protocol::AdviceAssignment assignment);
    void handle(LeaderCall message);
    void handle(PollAdvice message);
    void handle(workflow::QueueConfigPtr config);
    void handle(StepDown message);
    void handle(const LeaderQuery& message);
    void handle(KnownNodes message);
    void handle(LeaderSuspected message);

    LeaderTaskDependencies m_dependencies;
    lead::ElectionPtr m_election;
    scheduling::EnginePtr m_engine;
    scheduling::AdviceQueuePtr m_advice;
    fleet::IWorkerRegistryPtr m_registry;
    workflow::QueueConfigPtr m_config;
    std::optional<lead::LeaderRow> m_leader; //!< as last read from the store
    core::Epoch m_term; //!< of this node's leadership
    LagMeter m_lag;
    VmSpeed m_speed;
    std::uint64_t m_speedSample = 0; //!< result of the last computation for `m_speed`
    std::optional<YieldPolicy> m_yieldPolicy; //!< of this node's leadership
    bool m_isYielding = false;
    std::optional<lead::LeaderRow> m_publishedLeader; //!< the leader as last published to the other tasks
    bool m_isSuspected = false; //!< the published leader does not answer
    std::vector<core::HostPort> m_nodes; //!< other nodes that may know the leader
    std::size_t m_nextNode = 0; //!< index of the next one to query
    //! Node that polls this leader for advice requests.
    struct PollingNode {
        core::TimePoint polledAt {};
        core::MilliCpu vmCpu; //!< of its VM; 0: unknown
    };
    std::map<core::HostPort, PollingNode> m_adviceProxies; //!< while leading
    //! While leading: the nodes that have polled, or that the former leader knew. A silent one may lead, so none is
    //! dropped.
    std::set<core::HostPort> m_possibleLeaders;
    //! While leading without authority: when each node was asked that has answered that it does not lead.
    std::map<core::HostPort, core::TimePoint> m_notLeadingAt;
};

using LeaderTaskPtr = std::shared_ptr<LeaderTask>;

} // namespace sardinerun::dispatch
