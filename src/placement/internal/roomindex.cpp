#include "placement/roomindex.h"

#include <algorithm>
#include <bit>

namespace sardinerun::placement {

namespace {

//! Number of cells for each doubling of an amount.
constexpr int stepsPerDoubling = 4;
//! All amounts below this fall into the lowest cell, which keeps the grid small.
constexpr std::int64_t smallestAmount = 64;

} // namespace

std::size_t RoomIndex::magnitude(std::int64_t amount)
{
    if (amount < smallestAmount)
        return 0;
    const auto n = static_cast<std::uint64_t>(amount / smallestAmount);
    const int doublings = std::bit_width(n) - 1;
    const auto fraction = (static_cast<std::uint64_t>(amount) * stepsPerDoubling / smallestAmount) >> doublings;
    const std::size_t step = std::size_t(doublings) * stepsPerDoubling + (fraction - stepsPerDoubling);
    return std::min(step + 1, gridSize - 1);
}

RoomIndex::Cell RoomIndex::cellOf(const core::Resources& room)
{
    return { magnitude(room.cpu.value()), magnitude(room.memory.value()) };
}

void RoomIndex::insert(WorkerIndex worker, const core::Resources& room)
{
    if (m_positions.size() <= worker)
        m_positions.resize(worker + 1);
    const Cell cell = cellOf(room);
    auto& workers = at(cell);
    m_positions[worker] = static_cast<std::uint32_t>(workers.size());
    workers.push_back(worker);
    m_occupied[cell.cpu].set(cell.memory);
}

void RoomIndex::erase(WorkerIndex worker, const core::Resources& room)
{
    const Cell cell = cellOf(room);
    auto& workers = at(cell);
    const std::uint32_t position = m_positions[worker];
    workers[position] = workers.back();
    m_positions[workers[position]] = position;
    workers.pop_back();
    if (workers.empty())
        m_occupied[cell.cpu].reset(cell.memory);
}

void RoomIndex::move(WorkerIndex worker, const core::Resources& from, const core::Resources& to)
{
    if (cellOf(from) == cellOf(to))
        return;
    erase(worker, from);
    insert(worker, to);
}

bool RoomIndex::visitCell(std::size_t cpu, std::size_t memory, const std::function<bool(WorkerIndex)>& visit) const
{
    if (!m_occupied[cpu].test(memory))
        return true;
    const auto& workers = m_cells[cpu * gridSize + memory];
    return std::all_of(workers.begin(), workers.end(), visit);
}

void RoomIndex::search(
    const core::Resources& need, VisitOrder order, const std::function<bool(WorkerIndex)>& visit) const
{
    const Cell least = cellOf(need);
    const std::size_t rows = gridSize - least.cpu;
    const std::size_t columns = gridSize - least.memory;
    // Visiting diagonals orders cells by both dimensions combined: the n-th diagonal has n steps more room than needed.
    const std::size_t diagonals = rows + columns - 1;
    for (std::size_t n = 0; n < diagonals; ++n) {
        const std::size_t sum = order == VisitOrder::MostRoomFirst ? diagonals - 1 - n : n;
        const std::size_t firstRow = sum < columns ? 0 : sum - columns + 1;
        const std::size_t lastRow = std::min(sum, rows - 1);
        for (std::size_t row = firstRow; row <= lastRow; ++row) {
            if (!visitCell(least.cpu + row, least.memory + sum - row, visit))
                return;
        }
    }
}

} // namespace sardinerun::placement
