#pragma once

#include "node/tasks.h"

namespace sardinerun::node {

//! Runs the membership against the store, reads the VM list, and applies operators' changes.
class CellTask : public runtime::Task<CellMessage>, public ITask<CellMessage> {
public:
    CellTask(runtime::ILoopPtr loop, membership::MembershipPtr membership, services::ITableStorePtr store,
        services::IVmListPtr vms, IPortProbePtr probe, telemetry::MetricsPtr metrics, CellHooks hooks);
    void start() override;
    runtime::Address<CellMessage> taskAddress() override { return address(); }
    void receive(CellMessage message) override;

private:
    void on(Configure& message);
    void on(OlderConfigsDrained& message);
    void on(PartitionQuiescent& message);
    void on(SlotsIdle& message);
    void on(ForgetNode& message);
    void on(RefreshNow&);
    void on(Leave&);

    void sendStoreRequest();
    void readVms();
    void sendProbes();
    void publishUpdate();
    void refreshConfiguration();
    void applyConfigure(const Configure& message, const membership::CellView& view);
    void resolveConfigure(
        const Configure& message, const core::WriteId& id, core::ConfigVersion version, int triesLeft);
    std::string checkDocument(const std::string& document, const core::PresetName& preset) const;

    membership::MembershipPtr m_membership;
    services::ITableStorePtr m_store;
    services::IVmListPtr m_vmList;
    IPortProbePtr m_probe;
    telemetry::MetricsPtr m_metrics;
    CellHooks m_hooks;
    std::shared_ptr<const std::vector<services::VmInfo>> m_vms;
    std::shared_ptr<const configuration::Configuration> m_configuration;
    configuration::Preset m_activePreset;
    configuration::Preset m_transitionPreset;
    core::ConfigVersion m_readVersion; //!< version of m_configuration
    std::map<ConfigUser, core::ConfigVersion> m_drainedUpTo; //!< oldest version in use by each task
    std::set<membership::NodeIncarnation> m_probing;
    bool m_isReadingVms = false;
    bool m_hasLeft = false;
};

} // namespace sardinerun::node
