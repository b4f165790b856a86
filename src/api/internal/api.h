#pragma once

#include "api/iapi.h"
#include "core/hashing.h"

#include <optional>
#include <string>
#include <vector>

namespace sardinerun::api {

using teams::Role;

//! A request with its responder and the identity of its sender.
struct Call {
    http::Request request;
    http::Responder responder;
    std::string id; //!< last segment of the path if the pattern ends in "{id}"
    teams::Identity identity;

    //! Returns the team whose jobs the sender may see; an empty ID for operators, who see the jobs of all teams.
    core::TeamId visibleTeam() const { return identity.role == Role::Operator ? core::TeamId() : identity.team; }
};
using CallPtr = std::shared_ptr<Call>;

//! Combined answers of several partitions to one call.
struct CollectedAnswers {
    std::size_t pendingPartitions = 0; //!< partitions that have not answered yet
    bool isComplete = true; //!< no request to a partition failed
    std::vector<jobs::JobStatus> jobs;
    std::uint32_t cancelled = 0;
};

//! The task that handles requests of callers and operators.
class Api : public runtime::Task<node::CellUpdatePtr>, public IApi {
public:
    Api(runtime::ILoopPtr loop, ApiDependencies dependencies, ApiOptions options)
        : Task(std::move(loop))
        , m_dependencies(std::move(dependencies))
        , m_options(options)
        , m_cellUpdate(std::make_shared<node::CellUpdate>())
    {
    }

    void receive(node::CellUpdatePtr update) override { m_cellUpdate = std::move(update); }
    runtime::Address<node::CellUpdatePtr> updateAddress() override { return address(); }
    void setStopping() override { m_isStopping = true; }
    void handle(http::Request request, http::Responder responder) override;

private:
    using Handler = void (Api::*)(const CallPtr& call);
    struct Endpoint {
        const char* method;
        const char* path; //!< "{id}" at the end matches one path segment
        std::optional<Role> role; //!< minimum role; none: no token is needed
        Handler handler;
    };
    static const std::vector<Endpoint>& endpoints();

    static std::optional<std::string> matchPath(std::string_view pattern, std::string_view path);
    std::optional<teams::Identity> identityOf(const http::Request& request) const;
    void forward(http::Request request, http::Responder responder);

    void health(const CallPtr& call);
    void readiness(const CallPtr& call);
    void metrics(const CallPtr& call);
    void submit(const CallPtr& call);
    void onSubmitted(const CallPtr& call, const core::JobId& id, const std::optional<protocol::Message>& answer);
    void readJob(const CallPtr& call);
    void waitJob(const CallPtr& call);
    void pollUntilEnded(const CallPtr& call, core::TimePoint until);
    void listJobs(const CallPtr& call);
    void cancelJob(const CallPtr& call);
    void cancelJobs(const CallPtr& call);
    void cancelInPartitions(const CallPtr& call, const std::map<core::PartitionId, std::vector<core::JobId>>& byHome,
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

    void requestStatus(
        const core::JobId& job, const CallPtr& call, const std::function<void(const jobs::JobStatus&)>& onFound);
    std::uint32_t partitionCount() const { return m_cellUpdate->view ? m_cellUpdate->view->partitionCount : 0; }
    bool refuseWithoutPartitions(const CallPtr& call) const;

    ApiDependencies m_dependencies;
    ApiOptions m_options;
    node::CellUpdatePtr m_cellUpdate;
    bool m_isStopping = false;
    std::uint64_t m_requestCount = 0;
};

} // namespace sardinerun::api
