#pragma once

#include "core/types.h"
#include "placement/istrategy.h"

#include <array>
#include <bitset>
#include <functional>
#include <vector>

namespace sardinerun::placement {

using WorkerIndex = std::uint32_t;

//! Finds workers by free room without scanning all of them.
//!
//! Workers are bucketed into the cells of a grid by the magnitudes of their free CPU and memory. A search iterates
//! over cells instead of workers, so its cost hardly grows with the fleet.
class RoomIndex {
public:
    void insert(WorkerIndex worker, const core::Resources& room);
    void move(WorkerIndex worker, const core::Resources& from, const core::Resources& to);
    void erase(WorkerIndex worker, const core::Resources& room);

    //! Calls `visit` with workers that may have room for `need` until `visit` returns false.
    void search(const core::Resources& need, VisitOrder order, const std::function<bool(WorkerIndex)>& visit) const;

private:
    static constexpr std::size_t gridSize = 64;
    struct Cell {
        std::size_t cpu;
        std::size_t memory;
        bool operator==(const Cell&) const = default;
    };
    static std::size_t magnitude(std::int64_t amount);
    static Cell cellOf(const core::Resources& room);
    std::vector<WorkerIndex>& at(Cell cell) { return m_cells[cell.cpu * gridSize + cell.memory]; }
    bool visitCell(std::size_t cpu, std::size_t memory, const std::function<bool(WorkerIndex)>& visit) const;

    std::array<std::vector<WorkerIndex>, gridSize * gridSize> m_cells;
    std::array<std::bitset<gridSize>, gridSize> m_occupied; //!< non-empty cells; a row has the same CPU magnitude
    std::vector<std::uint32_t> m_positions; //!< position of each worker in its cell
};

} // namespace sardinerun::placement
