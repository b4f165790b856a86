#pragma once

#include "api/iapi.h"
#include "core/hashing.h"

#include <optional>
#include <string>
#include <vector>

namespace sardinerun::api {

using configuration::Role;

//! Who asks, and what was asked for.
struct Call {
    http::Request request;
    http::Responder responder;
    std::string id; //!< last part of the path, where the pattern has one
    configuration::Identity who;

    //! Operators see the jobs of all teams.
    core::TeamId visibleTeam() const { return who.role == Role::Operator ? core::TeamId() : who.team; }
};
using CallPtr = std::shared_ptr<Call>;

//! Collects the answers of all partitions.
struct Gathered {
    std::size_t missing = 0;
    bool isWhole = true;
    std::vector<jobs::JobStatus> jobs;
    std::uint32_t cancelled = 0;
};

//! The task that reads callers' requests and answers them.
class Api : public runtime::Task<node::CellUpdatePtr>, public IApi {
public:
    Api(runtime::ILoopPtr loop, ApiPorts ports, ApiOptions options)
        : Task(std::move(loop))
        , m_ports(std::move(ports))
        , m_options(options)
        , m_news(std::make_shared<node::CellUpdate>())
    {
    }

    void receive(node::CellUpdatePtr news) override { m_news = std::move(news); }
    runtime::Address<node::CellUpdatePtr> updateAddress() override { return address(); }
    void setStopping() override { m_isStopping = true; }
    void handle(http::Request request, http::Responder responder) override;

private:
    using Handler = void (Api::*)(const CallPtr& call);
    struct Endpoint {
        const char* method;
        const char* path; //!< "{id}" at the end stands for one part
        std::optional<Role> role; //!< nothing: anybody
        Handler handler;
    };
    static const std::vector<Endpoint>& endpoints();

    static std::optional<std::string> matchPath(std::string_view pattern, std::string_view path);
    std::optional<configuration::Identity> identityOf(const http::Request& request) const;
    void forward(http::Request request, http::Responder responder);

    void health(const CallPtr& call);
    void readiness(const CallPtr& call);
    void metrics(const CallPtr& call);
    void submit(const CallPtr& call);
    void onSubmitted(const CallPtr& call, const core::JobId& id, const std::optional<protocol::Message>& answer);
    void readJob(const CallPtr& call);
    void waitJob(const CallPtr& call);
    void waitOn(const CallPtr& call, core::TimePoint until);
    void listJobs(const CallPtr& call);
    void cancelJob(const CallPtr& call);
    void cancelJobs(const CallPtr& call);
    void cancelAt(const CallPtr& call, const std::map<core::PartitionId, std::vector<core::JobId>>& byHome,
        const std::string& workload);
    void readConfig(const CallPtr& call);
    void changeConfig(const CallPtr& call);
    void checkConfig(const CallPtr& call);
    void readPreset(const CallPtr& call);
    void changePreset(const CallPtr& call);
    void configure(const CallPtr& call, node::Configure message);
    void readTeams(const CallPtr& call);
    void readNodes(const CallPtr& call);
    void forgetNode(const CallPtr& call);
    void readWorkers(const CallPtr& call);
    void readPartitions(const CallPtr& call);

    void ask(const core::JobId& job, const CallPtr& call, const std::function<void(const jobs::JobStatus&)>& found);
    std::uint32_t partitionCount() const { return m_news->view ? m_news->view->partitionCount : 0; }
    bool refuseWithoutPartitions(const CallPtr& call) const;

    ApiPorts m_ports;
    ApiOptions m_options;
    node::CellUpdatePtr m_news;
    bool m_isStopping = false;
    std::uint64_t m_requests = 0;
};

} // namespace sardinerun::api
