#pragma once

#include "placement/placementtypes.h"

#include <array>
#include <unordered_map>

namespace sardinerun::placement {

//! How commitments follow what tasks were seen to use.
struct UsagePolicy {
    int floorPercent = 60; //!< a commitment never falls below this part of the declared size
    int marginPercent = 15; //!< room above what was seen
    bool operator==(const UsagePolicy&) const = default;
};

//! Learns what tasks of a workload really use. Rises with the first report, falls slowly.
class UsageEstimator {
public:
    //! A task of the workload declared `declared` and was seen to use `used`.
    void report(const std::string& workload, const core::Resources& declared, const core::Resources& used);

    //! Room to commit for a task that has not started.
    core::Resources toCommit(
        const std::string& workload, const core::Resources& declared, const UsagePolicy& policy) const;

    //! Room to commit for a running task; never less than what it uses now.
    core::Resources toCommitRunning(const std::string& workload, const core::Resources& declared,
        const core::Resources& used, const UsagePolicy& policy) const;

private:
    static constexpr std::size_t bucketCount = 64;
    //! Weights of observed ratios of used to declared; old ones fade.
    struct Ratios {
        std::array<double, bucketCount> weights {};
        double total = 0;
        void add(double ratio);
        double percentile(double p) const;
    };
    struct Workload {
        Ratios cpu;
        Ratios memory;
    };
    std::unordered_map<std::string, Workload> m_workloads;
};

} // namespace sardinerun::placement
