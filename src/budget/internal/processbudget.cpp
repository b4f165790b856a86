#include "budget/processbudget.h"

#include "codec/json.h"

#include <algorithm>
#include <bit>

namespace sardinerun::budget {

namespace {

//! Shares of a VM's memory are given in parts of this many. The smallest VM in use has 120 MB, so a part of it is 1 MB.
constexpr double parts = 120;

constexpr std::size_t kibibyte = 1024;
//! The tree of a JSON text takes up to this much for each value: a node of a map, and the value's own containers.
constexpr std::size_t bytesOfJsonValue = 200;
//! h2o reads from at most this many connections in one turn of the loop, and the limits apply after it.
constexpr std::size_t connectionsReadInTurn = 256;
//! Batches between nodes have no other limit.
constexpr std::size_t largestInnerBody = std::size_t(64) << 20;
constexpr std::size_t maxHeadBytes = 64 * kibibyte; //!< and the bytes that h2o has free before it reads
constexpr std::size_t minAnswers = std::size_t(8) << 20; //!< twice the longest answer of the store

std::size_t shareOf(const VmSize& vm, double share)
{
    return std::size_t(double(vm.memoryBytes) * share / parts);
}

//! Parts of the VM's memory for the connections of a table, their unfinished requests, and their requests in service.
struct TableParts {
    double connections;
    double unfinished;
    double served;
};

http::ConnectionLimits limitsOf(
    const VmSize& vm, http::ListenerKind kind, const TableParts& table, std::size_t descriptors)
{
    http::ListenerShare share;
    share.kind = kind;
    share.connectionBytes = shareOf(vm, table.connections);
    share.unfinishedBytes = shareOf(vm, table.unfinished);
    share.servedBytes = shareOf(vm, table.served);
    share.descriptors = descriptors;
    return http::connectionLimitsFor(share);
}

http::AnswerLimits answersOf(const VmSize& vm, double share)
{
    http::AnswerLimits limits;
    limits.totalBytes = std::max(shareOf(vm, share), minAnswers);
    return limits;
}

std::size_t connectionBytes(const http::ConnectionLimits& limits)
{
    return limits.connections * http::bytesOfConnection(limits.kind);
}

std::size_t requestBytes(const http::ConnectionLimits& limits)
{
    return limits.unfinishedBytes + limits.servedBytes;
}

//! Returns what may arrive in one turn of a loop whose tables have these limits.
std::size_t turnBytes(std::size_t connections)
{
    return std::min(connections, connectionsReadInTurn) * 32 * kibibyte;
}

constexpr std::size_t jsonBytes = codec::maxCallerValues * bytesOfJsonValue;

} // namespace

DispatchBudget dispatchBudgetFor(const VmSize& vm)
{
    // A leader has connections from all nodes, and many more to its workers.
    DispatchBudget budget;
    budget.callers = limitsOf(vm, http::ListenerKind::Callers, { 8.25, 3, 3 }, vm.descriptors / 8);
    budget.inner = limitsOf(vm, http::ListenerKind::Nodes, { 10, 1.5, 1.5 }, vm.descriptors / 4);
    budget.readiness = limitsOf(vm, http::ListenerKind::Nodes, { 1, 0.25, 0.25 }, vm.descriptors / 32);
    budget.callersCallBytes = shareOf(vm, 2);
    budget.innerCallBytes = shareOf(vm, 3);
    budget.answers = answersOf(vm, 8);
    return budget;
}

ServeBudget serveBudgetFor(const VmSize& vm, bool hasTls)
{
    ServeBudget budget;
    const auto kind = hasTls ? http::ListenerKind::CallersWithTls : http::ListenerKind::Callers;
    budget.callers = limitsOf(vm, kind, { 12, 5, 5 }, vm.descriptors / 8);
    budget.inner = limitsOf(vm, http::ListenerKind::Nodes, { 4, 8, 2 }, vm.descriptors / 8);
    // h2o's buffer for the largest batch, which doubles as it grows, takes all unfinished bytes.
    budget.maxInnerBodyBytes = std::min(largestInnerBody, std::bit_floor(budget.inner.unfinishedBytes) - maxHeadBytes);
    budget.claimBytes = shareOf(vm, 16);
    budget.answers = answersOf(vm, 7.5);
    return budget;
}

std::vector<Part> partsOf(const DispatchBudget& it)
{
    const std::size_t connections = it.callers.connections + it.inner.connections + it.readiness.connections;
    return {
        { "connections of callers", connectionBytes(it.callers) },
        { "connections of nodes", connectionBytes(it.inner) },
        { "connections of the load balancer", connectionBytes(it.readiness) },
        { "requests of callers", requestBytes(it.callers) },
        { "requests of nodes", requestBytes(it.inner) },
        { "requests of the load balancer", requestBytes(it.readiness) },
        { "calls of callers", it.callersCallBytes },
        { "calls of nodes", it.innerCallBytes },
        { "received in one turn", turnBytes(connections) },
        { "reading JSON", jsonBytes },
        { "answers", it.answers.totalBytes },
    };
}

std::vector<Part> partsOf(const ServeBudget& it)
{
    return {
        { "connections of callers", connectionBytes(it.callers) },
        { "connections of nodes", connectionBytes(it.inner) },
        { "requests of callers", requestBytes(it.callers) },
        { "requests of nodes", requestBytes(it.inner) },
        { "received in one turn", turnBytes(it.callers.connections) + turnBytes(it.inner.connections) },
        { "claims and stored answers", it.claimBytes },
        { "reading JSON", jsonBytes },
        { "answers", 2 * it.answers.totalBytes },
    };
}

} // namespace sardinerun::budget
