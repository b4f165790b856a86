//! Handlers of operators' calls: configuration, presets, nodes, workers, partitions.

#include "api/internal/api.h"
#include "api/internal/responses.h"
#include "codec/yaml.h"
#include "core/numbers.h"
#include "partition/partition.h"
#include "services/servicescodec.h"

namespace sardinerun::api {

void Api::readConfig(const CallPtr& call)
{
    Json::Value body(Json::objectValue);
    if (m_cellUpdate->view) {
        body["version"] = Json::UInt64(m_cellUpdate->view->config.version.value());
        body["inForce"] = Json::UInt64(m_cellUpdate->view->active.version.value());
        body["preset"] = m_cellUpdate->view->config.preset.value();
        body["document"] = m_cellUpdate->view->config.document;
    }
    call->responder.send(json(200, body));
}

void Api::readPreset(const CallPtr& call)
{
    const bool isPresetInForce
        = m_cellUpdate->memberState.activeConfig.value() > 0 && now() < m_cellUpdate->memberState.leaseValidUntil;
    Json::Value body(Json::objectValue);
    body["here"] = isPresetInForce ? m_cellUpdate->activePreset.name.value() : configuration::noPreset;
    if (m_cellUpdate->view) {
        body["accepted"] = m_cellUpdate->view->config.preset.value();
        body["version"] = Json::UInt64(m_cellUpdate->view->config.version.value());
        body["inForce"] = Json::UInt64(m_cellUpdate->view->active.version.value());
    }
    call->responder.send(json(200, body));
}

void Api::configure(const CallPtr& call, node::Configure message)
{
    message.reply = replyHere<node::ConfigureResult>([call](const node::ConfigureResult& result) {
        using Outcome = node::ConfigureOutcome;
        Json::Value body(Json::objectValue);
        body["version"] = Json::UInt64(result.version.value());
        const std::string version = "version " + std::to_string(result.version.value()) + " stands: ";
        switch (result.outcome) {
        case Outcome::Accepted:
            call->responder.send(json(200, body));
            break;
        case Outcome::Conflict:
            call->responder.send(
                problem(409, "version-conflict", "Another change came first", Executed::No, version + result.detail));
            break;
        case Outcome::Invalid:
            call->responder.send(
                problem(422, "bad-configuration", "The configuration is wrong", Executed::No, result.detail));
            break;
        case Outcome::StoreDown:
            call->responder.send(problem(503, "store-down", "The platform's store does not answer", Executed::No,
                result.detail, std::chrono::seconds(5)));
            break;
        case Outcome::Unknown:
            call->responder.send(
                problem(504, "outcome-unknown", "The change may have been accepted", Executed::Unknown, result.detail));
            break;
        }
    });
    m_dependencies.toCell(std::move(message));
}

constexpr std::uint64_t maxVersion = std::uint64_t(1) << 53;

std::optional<core::ConfigVersion> expectedVersion(const http::Request& request)
{
    const auto text = http::queryParameter(request.query, "expected");
    const auto version = text ? core::parseUnsigned(*text, maxVersion) : std::nullopt;
    return version ? std::optional(core::ConfigVersion(*version)) : std::nullopt;
}

void Api::changeConfig(const CallPtr& call)
{
    node::Configure message;
    message.expected = expectedVersion(call->request);
    message.document = call->request.body;
    if (const auto preset = http::queryParameter(call->request.query, "preset"))
        message.preset = core::PresetName(*preset);
    configure(call, std::move(message));
}

void Api::changePreset(const CallPtr& call)
{
    node::Configure message;
    message.expected = expectedVersion(call->request);
    try {
        const Json::Value value = codec::parseJson(call->request.body, codec::maxCallerValues);
        codec::ObjectReader reader(value);
        message.preset = core::PresetName(reader.text("preset", 64));
        reader.finish();
    } catch (const codec::DecodeError& it) {
        call->responder.send(problem(400, "bad-request", "The preset cannot be read", Executed::No, it.what()));
        return;
    }
    configure(call, std::move(message));
}

void Api::checkConfig(const CallPtr& call)
{
    try {
        configuration::readConfiguration(call->request.body, "configuration");
        call->responder.send(json(200, Json::Value(Json::objectValue)));
    } catch (const codec::YamlError& it) {
        call->responder.send(problem(422, "bad-configuration", "The configuration is wrong", Executed::No, it.what()));
    }
}

void Api::readTeams(const CallPtr& call)
{
    Json::Value body(Json::objectValue);
    body["teams"] = Json::Value(Json::arrayValue);
    const std::vector<teams::Team> none;
    for (const teams::Team& it : m_cellUpdate->configuration ? m_cellUpdate->configuration->teams : none) {
        Json::Value team(Json::objectValue);
        team["name"] = it.id.value();
        team["weight"] = it.weight;
        team["tokens"] = Json::UInt64(it.keys.size());
        body["teams"].append(team);
    }
    call->responder.send(json(200, body));
}

void Api::readNodes(const CallPtr& call)
{
    Json::Value body(Json::objectValue);
    body["nodes"] = Json::Value(Json::arrayValue);
    body["self"] = m_cellUpdate->memberState.self.node.value();
    if (!m_cellUpdate->view) {
        call->responder.send(json(200, body));
        return;
    }
    for (const membership::Member& it : m_cellUpdate->view->members) {
        Json::Value node(Json::objectValue);
        node["node"] = it.identity.node.value();
        node["incarnation"] = it.identity.incarnation.value();
        node["address"] = it.address.text();
        node["failureDomain"] = it.failureDomain.value();
        node["confirmed"] = Json::UInt64(it.confirmed.value());
        node["leaving"] = it.isLeaving;
        node["partitions"] = Json::Value(Json::arrayValue);
        for (const auto& [id, row] : m_cellUpdate->view->partitions) {
            if (row.owner == it.identity)
                node["partitions"].append(id.value());
        }
        body["nodes"].append(node);
    }
    call->responder.send(json(200, body));
}

void Api::forgetNode(const CallPtr& call)
{
    m_dependencies.toCell(node::ForgetNode { core::NodeId(call->id) });
    call->responder.send(json(202, Json::Value(Json::objectValue)));
}

void Api::readWorkers(const CallPtr& call)
{
    Json::Value body(Json::objectValue);
    body["vms"] = Json::Value(Json::arrayValue);
    const std::vector<services::VmInfo> none;
    for (const services::VmInfo& it : m_cellUpdate->vms ? *m_cellUpdate->vms : none) {
        Json::Value vm(Json::objectValue);
        vm["id"] = it.id.value();
        vm["role"] = it.role == services::VmRole::Worker ? "worker" : "runner";
        vm["state"] = it.state == services::VmState::Live ? "live" : "leaving";
        vm["rack"] = it.rack.value();
        vm["failureDomain"] = it.failureDomain.value();
        vm["address"] = it.address.text();
        if (it.role == services::VmRole::Worker && partitionCount() > 0)
            vm["partition"] = partition::Partition::partitionOf(it.id, partitionCount()).value();
        body["vms"].append(vm);
    }
    call->responder.send(json(200, body));
}

void Api::readPartitions(const CallPtr& call)
{
    m_dependencies.readPartitions(
        replyHere<std::vector<partition::PartitionView>>([call](const std::vector<partition::PartitionView>& views) {
            Json::Value body(Json::objectValue);
            body["partitions"] = Json::Value(Json::arrayValue);
            for (const partition::PartitionView& it : views) {
                Json::Value view(Json::objectValue);
                view["partition"] = it.id.value();
                view["epoch"] = Json::UInt64(it.epoch.value());
                view["recovered"] = it.isRecovered;
                view["jobs"] = Json::UInt64(it.jobs);
                view["attempts"] = Json::UInt64(it.attempts);
                view["workers"] = Json::UInt64(it.workers);
                view["readyWorkers"] = Json::UInt64(it.readyWorkers);
                view["setAsideWorkers"] = Json::UInt64(it.quarantinedWorkers);
                view["total"] = services::encodeResources(it.total);
                view["committed"] = services::encodeResources(it.committed);
                view["storeHealthy"] = it.isStoreHealthy;
                body["partitions"].append(view);
            }
            call->responder.send(json(200, body));
        }));
}

} // namespace sardinerun::api
