#include "placement/istrategy.h"

#include <algorithm>
#include <array>

namespace sardinerun::placement {

namespace {

double part(std::int64_t left, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(left) / static_cast<double>(capacity) : 0;
}

double cpuPart(const core::Resources& left, const core::Resources& capacity)
{
    return part(left.cpu.value(), capacity.cpu.value());
}

double memoryPart(const core::Resources& left, const core::Resources& capacity)
{
    return part(left.memory.value(), capacity.memory.value());
}

//! Least room left over.
class BestFit : public IStrategy {
public:
    VisitOrder order() const override { return VisitOrder::TightFirst; }
    double score(const core::Resources& left, const core::Resources& capacity) const override
    {
        return -(cpuPart(left, capacity) + memoryPart(left, capacity));
    }
};

//! What is left over keeps the shape of the worker, so that neither dimension is stranded.
class DominantFit : public IStrategy {
public:
    VisitOrder order() const override { return VisitOrder::TightFirst; }
    double score(const core::Resources& left, const core::Resources& capacity) const override
    {
        const double cpu = cpuPart(left, capacity);
        const double memory = memoryPart(left, capacity);
        const double stranded = std::max(cpu, memory) - std::min(cpu, memory);
        return -(strandedWeight * stranded + std::max(cpu, memory));
    }

private:
    static constexpr double strandedWeight = 2.0;
};

class LeastLoaded : public IStrategy {
public:
    VisitOrder order() const override { return VisitOrder::LooseFirst; }
    double score(const core::Resources& left, const core::Resources& capacity) const override
    {
        return std::min(cpuPart(left, capacity), memoryPart(left, capacity));
    }
};

class FirstFit : public IStrategy {
public:
    VisitOrder order() const override { return VisitOrder::ByAge; }
    double score(const core::Resources&, const core::Resources&) const override { return 0; }
};

struct Entry {
    StrategyKind kind;
    const char* name;
    const IStrategy& (*make)();
};

template <class Strategy> const IStrategy& only()
{
    static const Strategy it;
    return it;
}

constexpr std::array<Entry, 4> strategies { {
    { StrategyKind::BestFit, "bestFit", only<BestFit> },
    { StrategyKind::DominantFit, "dominantFit", only<DominantFit> },
    { StrategyKind::LeastLoaded, "leastLoaded", only<LeastLoaded> },
    { StrategyKind::FirstFit, "firstFit", only<FirstFit> },
} };

const Entry& entryOf(StrategyKind kind)
{
    return *std::find_if(strategies.begin(), strategies.end(), [kind](const Entry& it) { return it.kind == kind; });
}

} // namespace

const IStrategy& strategyOf(StrategyKind kind)
{
    return entryOf(kind).make();
}

const char* nameOf(StrategyKind kind)
{
    return entryOf(kind).name;
}

std::optional<StrategyKind> strategyKindOf(std::string_view name)
{
    for (const Entry& it : strategies) {
        if (name == it.name)
            return it.kind;
    }
    return std::nullopt;
}

} // namespace sardinerun::placement
