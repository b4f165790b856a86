#pragma once

#include "placement/placementtypes.h"

#include <array>
#include <unordered_map>

namespace sardinerun::placement {

//! How commitments follow the observed usage of tasks.
struct UsagePolicy {
    int floorPercent = 60; //!< minimum commitment, in percent of the declared size
    int marginPercent = 15; //!< added to the observed usage, in percent of it
    bool operator==(const UsagePolicy&) const = default;
};

//! Estimates the actual usage of a workload's tasks. Rises with the first report of higher usage, falls slowly.
class UsageEstimator {
public:
    //! Records the observed usage of a task and the size that it declared.
    void report(const std::string& workload, const core::Resources& declared, const core::Resources& used);

    //! Returns the room to commit for a task that has not started.
    core::Resources toCommit(
        const std::string& workload, const core::Resources& declared, const UsagePolicy& policy) const;

    //! Returns the room to commit for a running task: at least its present usage plus the margin.
    core::Resources toCommitRunning(const std::string& workload, const core::Resources& declared,
        const core::Resources& used, const UsagePolicy& policy) const;

private:
    static constexpr std::size_t bucketCount = 64;
    //! Histogram of the ratios of used to declared size; the weights of old observations decay.
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
