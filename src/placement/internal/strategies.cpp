#include "placement/istrategy.h"

#include <algorithm>
#include <array>

namespace sardinerun::placement {

namespace {

double fraction(std::int64_t left, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(left) / static_cast<double>(capacity) : 0;
}

double cpuFraction(const core::Resources& left, const core::Resources& capacity)
{
    return fraction(left.cpu.value(), capacity.cpu.value());
}

double memoryFraction(const core::Resources& left, const core::Resources& capacity)
{
    return fraction(left.memory.value(), capacity.memory.value());
}

//! Prefers the worker with the least room left.
class BestFit : public IStrategy {
public:
    VisitOrder order() const override { return VisitOrder::LeastRoomFirst; }
    double score(const core::Resources& left, const core::Resources& capacity) const override
    {
        return -(cpuFraction(left, capacity) + memoryFraction(left, capacity));
    }
};

//! Prefers workers whose remaining room keeps the proportions of their capacity, so that neither CPU nor memory is
//! stranded.
class DominantFit : public IStrategy {
public:
    VisitOrder order() const override { return VisitOrder::LeastRoomFirst; }
    double score(const core::Resources& left, const core::Resources& capacity) const override
    {
        const double cpu = cpuFraction(left, capacity);
        const double memory = memoryFraction(left, capacity);
        const double stranded = std::max(cpu, memory) - std::min(cpu, memory);
        return -(strandedWeight * stranded + std::max(cpu, memory));
    }

private:
    static constexpr double strandedWeight = 2.0;
};

class LeastLoaded : public IStrategy {
public:
    VisitOrder order() const override { return VisitOrder::MostRoomFirst; }
    double score(const core::Resources& left, const core::Resources& capacity) const override
    {
        return std::min(cpuFraction(left, capacity), memoryFraction(left, capacity));
    }
};

class FirstFit : public IStrategy {
public:
    VisitOrder order() const override { return VisitOrder::ByInsertion; }
    double score(const core::Resources&, const core::Resources&) const override { return 0; }
};

struct Entry {
    StrategyKind kind;
    const char* name;
    const IStrategy& (*get)();
};

template <class Strategy> const IStrategy& instance()
{
    static const Strategy it;
    return it;
}

constexpr std::array<Entry, 4> strategies { {
    { StrategyKind::BestFit, "bestFit", instance<BestFit> },
    { StrategyKind::DominantFit, "dominantFit", instance<DominantFit> },
    { StrategyKind::LeastLoaded, "leastLoaded", instance<LeastLoaded> },
    { StrategyKind::FirstFit, "firstFit", instance<FirstFit> },
} };

const Entry& entryOf(StrategyKind kind)
{
    return *std::find_if(strategies.begin(), strategies.end(), [kind](const Entry& it) { return it.kind == kind; });
}

} // namespace

const IStrategy& strategyOf(StrategyKind kind)
{
    return entryOf(kind).get();
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
