#pragma once

#include "dispatch/dispatchtypes.h"
#include "http/ihttpclient.h"
#include "workflow/iconfigsource.h"

#include <map>
#include <set>

namespace sardinerun::dispatch {

struct ConfigFollowerDependencies {
    http::IHttpClientPtr client; //!< for other nodes
    workflow::IConfigSourcePtr source;
    core::HostPort self; //!< address of this node for other nodes
    std::function<void(const workflow::QueueConfigPtr&)> adopted; //!< called with each newer version
};

//! Keeps the newest configuration of this node. It follows the source, and asks other nodes while the source does not
//! answer this node: first the leader, then the nodes that the leader has named. Never adopts an older version.
class ConfigFollower : public runtime::Task<ConfigMessage> {
public:
    static std::shared_ptr<ConfigFollower> create(runtime::ILoopPtr loop, ConfigFollowerDependencies dependencies);
    ConfigFollower(runtime::ILoopPtr loop, ConfigFollowerDependencies dependencies);

    void start();
    void receive(ConfigMessage message) override;

    //! Returns the newest known configuration; null if there is none.
    const workflow::QueueConfigPtr& config() const { return m_config; }
    //! Returns until when the configuration is known to have been the newest one.
    core::TimePoint confirmedAt() const { return m_confirmedAt; }

private:
    void adopt(const workflow::QueueConfigPtr& config, const std::string& from);
    void handle(const LeaderUpdate& update);
    void handle(KnownNodes message);
    void handle(const ConfigRequest& message);
    //! Asks one other node while the source does not answer.
    void askNextNode();
    //! Returns the nodes that may know a newer version, in the order in which they are asked.
    std::vector<core::HostPort> candidates() const;
    void onAnswer(const core::HostPort& node, core::TimePoint askedAt, const http::ClientResult& result);

    ConfigFollowerDependencies m_dependencies;
    workflow::QueueConfigPtr m_config;
    core::TimePoint m_confirmedAt {};
    bool m_isSourceUp = false;
    std::optional<core::HostPort> m_leader;
    std::vector<core::HostPort> m_nodes;
    std::size_t m_nextNode = 0;
};

using ConfigFollowerPtr = std::shared_ptr<ConfigFollower>;

} // namespace sardinerun::dispatch
