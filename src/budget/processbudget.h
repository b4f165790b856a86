#pragma once

#include "http/connectionlimits.h"
#include "http/h2oclient.h"

#include <cstddef>
#include <vector>

//! Division of a VM's memory and descriptors among the parts of a process, so that all parts together fit while each is
//! at its limit. docs/CAPACITY.md has the sums.
namespace sardinerun::budget {

//! What a process may use of its VM.
struct VmSize {
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

//! One part of a process and the most that it takes.
struct Part {
    const char* name = "";
    std::size_t bytes = 0;
};

//! Limits of a node that dispatches workflows.
struct DispatchBudget {
    http::ConnectionLimits callers;
    http::ConnectionLimits inner; //!< other nodes
    http::ConnectionLimits readiness; //!< the load balancer
    std::size_t callersCallBytes = 0; //!< of calls of callers that are in progress
    std::size_t innerCallBytes = 0; //!< of calls that other nodes have passed on
    http::AnswerLimits answers;
};

//! Limits of a node of `serve`, which has two loops.
struct ServeBudget {
    http::ConnectionLimits callers;
    http::ConnectionLimits inner; //!< other nodes
    std::size_t maxInnerBodyBytes = 0; //!< of a batch of messages between nodes
    std::size_t claimBytes = 0; //!< for claims and stored answers of all partitions
    http::AnswerLimits answers; //!< of each loop
};

DispatchBudget dispatchBudgetFor(const VmSize& vm);
//! `hasTls`: callers are served with TLS.
ServeBudget serveBudgetFor(const VmSize& vm, bool hasTls);

//! Return what the parts that depend on others take at their limits, without the process itself and its decisions.
std::vector<Part> partsOf(const DispatchBudget& budget);
std::vector<Part> partsOf(const ServeBudget& budget);

} // namespace sardinerun::budget
