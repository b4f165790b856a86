#include "placement/roomindex.h"

#include <algorithm>
#include <bit>

namespace sardinerun::placement {

namespace {

//! Cells for each doubling of an amount.
constexpr int stepsPerDoubling = 4;
//! Amounts below this share the lowest cell, which keeps the grid small.
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
    return std::min(step + 1, side - 1);
}

RoomIndex::Cell RoomIndex::cellOf(const core::Resources& room)
{
    return { magnitude(room.cpu.value()), magnitude(room.memory.value()) };
}

void RoomIndex::insert(WorkerIndex worker, const core::Resources& room)
{
    if (m_position.size() <= worker)
        m_position.resize(worker + 1);
    const Cell cell = cellOf(room);
    auto& members = at(cell);
    m_position[worker] = static_cast<std::uint32_t>(members.size());
    members.push_back(worker);
    m_used[cell.cpu].set(cell.memory);
}

void RoomIndex::erase(WorkerIndex worker, const core::Resources& room)
{
    const Cell cell = cellOf(room);
    auto& members = at(cell);
    const std::uint32_t position = m_position[worker];
    members[position] = members.back();
    m_position[members[position]] = position;
    members.pop_back();
    if (members.empty())
        m_used[cell.cpu].reset(cell.memory);
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
    if (!m_used[cpu].test(memory))
        return true;
    const auto& members = m_cells[cpu * side + memory];
    return std::all_of(members.begin(), members.end(), visit);
}

void RoomIndex::search(
    const core::Resources& need, VisitOrder order, const std::function<bool(WorkerIndex)>& visit) const
{
    const Cell least = cellOf(need);
    const std::size_t rows = side - least.cpu;
    const std::size_t columns = side - least.memory;
    // Diagonals keep the order by both dimensions together: the n-th one has n steps of room to spare.
    const std::size_t diagonals = rows + columns - 1;
    for (std::size_t n = 0; n < diagonals; ++n) {
        const std::size_t sum = order == VisitOrder::LooseFirst ? diagonals - 1 - n : n;
        const std::size_t firstRow = sum < columns ? 0 : sum - columns + 1;
        const std::size_t lastRow = std::min(sum, rows - 1);
        for (std::size_t row = firstRow; row <= lastRow; ++row) {
            if (!visitCell(least.cpu + row, least.memory + sum - row, visit))
                return;
        }
    }
}

} // namespace sardinerun::placement
