#pragma once

#include "placement/placementtypes.h"

#include <optional>
#include <string_view>

namespace sardinerun::placement {

//! In which order workers with room are looked at; only the first ones are scored.
enum class VisitOrder {
    TightFirst,
    LooseFirst,
    ByAge //!< the order in which workers came
};

//! Chooses among workers that have room.
class IStrategy {
public:
    virtual ~IStrategy() = default;
    virtual VisitOrder order() const = 0;
    //! How good the worker is once the task is on it; `left` is its room after that. Higher is better.
    virtual double score(const core::Resources& left, const core::Resources& capacity) const = 0;
};

//! The strategy of a kind; one object for all its users, without state.
const IStrategy& strategyOf(StrategyKind kind);
std::optional<StrategyKind> strategyKindOf(std::string_view name);
const char* nameOf(StrategyKind kind);

} // namespace sardinerun::placement
