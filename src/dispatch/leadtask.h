#pragma once

#include "dispatch/dispatchtypes.h"
#include "dispatch/lagmeter.h"
#include "fleet/iworkerorders.h"
#include "fleet/iworkerregister.h"
#include "http/ihttpclient.h"
#include "scheduling/engine.h"

#include <functional>

namespace sardinerun::dispatch {

struct LeadParts {
    store::IRowStorePtr store;
    fleet::IWorkerOrdersPtr orders;
    std::function<fleet::IWorkerRegisterPtr()> makeRegister;
    http::IHttpClientPtr client; //!< for other nodes
    telemetry::MetricsPtr metrics;
    core::NodeId self;
    core::HostPort address; //!< for other nodes
    core::Duration handicap {}; //!< of this node in elections
    scheduling::SchedulingTimes times;
    lead::LeadTimes leadTimes;
    std::function<void(const LeaderNews&)> news;
};

//! Takes part in the election; owns the engine and the watch of the register while this node leads.
class LeadTask : public runtime::Task<LeadMessage> {
public:
    static std::shared_ptr<LeadTask> create(runtime::ILoopPtr loop, LeadParts parts);
    LeadTask(runtime::ILoopPtr loop, LeadParts parts);

    void start();
    void receive(LeadMessage message) override;

private:
    void onLeader(const std::optional<lead::LeaderRow>& leader);
    void onWon(const lead::Won& won);
    void onDeposed(const std::string& why);
    void endLeadership();
    //! Asks a node what it knows; a leader tells it of its term by that.
    void askNode(const core::HostPort& node, bool isTurnedAway,
        std::function<void(const std::optional<protocol::LeaderHint>&)> answered);
    void inviteOthers();
    //! Gives the leadership back when this VM is too slow for it, so that another node takes it.
    void checkLag();
    void askFormer(const core::HostPort& former, core::Epoch term);
    //! Asks other nodes who leads, while the store does not tell.
    void lookForLeader();
    void tellNews(const std::optional<lead::LeaderRow>& leader);
    protocol::LentTurn withNodes(protocol::LentTurn turn);
    void take(AskWork message);
    void take(OfferTurn message);
    void take(workflow::QueueConfigPtr config);
    void take(Retire message);
    void take(AskLeader message);
    void take(NodesSeen message);
    void take(LeaderDoubted message);

    LeadParts m_parts;
    lead::ElectionPtr m_election;
    scheduling::EnginePtr m_engine;
    scheduling::AdviceDeskPtr m_advice;
    fleet::IWorkerRegisterPtr m_register;
    workflow::QueueConfigPtr m_config;
    std::optional<lead::LeaderRow> m_leader; //!< the last one that was seen
    core::Epoch m_term; //!< of this node's leadership
    LagMeter m_lag;
    core::TimePoint m_mayYieldAt {}; //!< when it may give the leadership back for want of processor
    bool m_isYielding = false;
    std::optional<lead::LeaderRow> m_told; //!< the leader that the other tasks know
    bool m_isDoubted = false; //!< that leader does not answer
    std::vector<core::HostPort> m_nodes; //!< others that may know the leader
    std::size_t m_nextNode = 0; //!< to be asked
    std::map<core::HostPort, core::TimePoint> m_lenders; //!< while leading: nodes that lend turns, and when last
};

using LeadTaskPtr = std::shared_ptr<LeadTask>;

} // namespace sardinerun::dispatch
