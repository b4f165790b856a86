#pragma once

#include "placement/placementtypes.h"

#include <optional>
#include <string_view>

namespace sardinerun::placement {

//! Order in which workers with room are visited; only the first ones are scored.
enum class VisitOrder {
    LeastRoomFirst,
    MostRoomFirst,
    ByInsertion //!< the order in which workers were added
};

//! Scores workers that have room for a task.
class IStrategy {
public:
    virtual ~IStrategy() = default;
    virtual VisitOrder order() const = 0;
    //! Returns the score of a worker for a task, higher is better; `left` is its remaining room with the task placed.
    virtual double score(const core::Resources& left, const core::Resources& capacity) const = 0;
};

//! Returns the shared, stateless strategy object of a kind.
const IStrategy& strategyOf(StrategyKind kind);
std::optional<StrategyKind> strategyKindOf(std::string_view name);
const char* nameOf(StrategyKind kind);

} // namespace sardinerun::placement
