#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

//! Core types: IDs, units and times used by all modules.
namespace sardinerun::core {

//! Strong type: values with different tags cannot be assigned to or compared with each other.
template <class Tag, class Rep> class Strong {
public:
    constexpr Strong() = default;
    constexpr explicit Strong(Rep value)
        : m_value(std::move(value))
    {
    }

    constexpr const Rep& value() const { return m_value; }
    constexpr auto operator<=>(const Strong&) const = default;

private:
    Rep m_value {};
};

//! Amount of a unit. Supports addition, subtraction and scaling.
template <class Tag> class Quantity {
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(std::int64_t value)
        : m_value(value)
    {
    }

    constexpr std::int64_t value() const { return m_value; }
    constexpr auto operator<=>(const Quantity&) const = default;

    constexpr Quantity operator+(Quantity other) const { return Quantity(m_value + other.m_value); }
    constexpr Quantity operator-(Quantity other) const { return Quantity(m_value - other.m_value); }
    constexpr Quantity operator*(std::int64_t n) const { return Quantity(m_value * n); }
    constexpr Quantity& operator+=(Quantity other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr Quantity& operator-=(Quantity other)
    {
        m_value -= other.m_value;
        return *this;
    }

private:
    std::int64_t m_value = 0;
};

using NodeId = Strong<struct NodeTag, std::string>; //!< entry node, as named in its settings
using Incarnation = Strong<struct IncarnationTag, std::string>; //!< one execution of a node's process
using VmId = Strong<struct VmTag, std::string>; //!< worker or runner VM
using RackId = Strong<struct RackTag, std::string>;
using FailureDomainId = Strong<struct FailureDomainTag, std::string>;
using TeamId = Strong<struct TeamTag, std::string>;
using ServiceId = Strong<struct ServiceTag, std::string>;
using JobId = Strong<struct JobTag, std::string>;
using WriteId = Strong<struct WriteTag, std::string>; //!< lets a writer recognize its own write after a lost answer
using PresetName = Strong<struct PresetTag, std::string>;
using IdempotencyKey = Strong<struct IdempotencyKeyTag, std::string>;
using PartitionId = Strong<struct PartitionTag, std::uint32_t>;
using TaskIndex = Strong<struct TaskTag, std::uint32_t>; //!< index of a task in its job
using AttemptNumber
    = Strong<struct AttemptTag, std::uint64_t>; //!< increases with each attempt of a task, also across changes of owner
using Epoch = Strong<struct EpochTag, std::uint64_t>; //!< increases with each change of a partition's owner
using RowVersion = Strong<struct RowVersionTag, std::uint64_t>; //!< 0 means that the row does not exist
using ConfigVersion = Strong<struct ConfigVersionTag, std::uint64_t>; //!< 0 means that there is no configuration yet
using LogSequence = Strong<struct LogSequenceTag, std::uint64_t>;

using MilliCpu = Quantity<struct MilliCpuTag>; //!< thousandths of a core
using MebiBytes = Quantity<struct MebiBytesTag>;
using Accelerators = Quantity<struct AcceleratorsTag>;
using Slots = Quantity<struct SlotsTag>; //!< requests that a runner serves at the same time

//! Monotonic clock of the runtime. Its times have no relation to the date.
struct RuntimeClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by std::chrono
};
using TimePoint = RuntimeClock::time_point;
using Duration = RuntimeClock::duration;

//! Returns a duration in whole milliseconds, for logs and encodings.
constexpr std::int64_t toMs(Duration it)
{
    return it / std::chrono::milliseconds(1);
}

//! Milliseconds since 1970 in UTC. Only for times that are used beyond one process; intervals use TimePoint.
using WallTime = Quantity<struct WallTimeTag>;

//! Identifies an attempt of a task uniquely in the cell.
struct AttemptId {
    JobId job;
    TaskIndex task;
    AttemptNumber attempt;
    auto operator<=>(const AttemptId&) const = default;
};

//! Amounts of CPU, memory and accelerators that a task needs or a worker has.
struct Resources {
    MilliCpu cpu;
    MebiBytes memory;
    Accelerators accelerators;

    bool operator==(const Resources&) const = default;

    constexpr bool fitsIn(const Resources& room) const
    {
        return cpu <= room.cpu && memory <= room.memory && accelerators <= room.accelerators;
    }
    constexpr Resources operator+(const Resources& other) const
    {
        return { cpu + other.cpu, memory + other.memory, accelerators + other.accelerators };
    }
    constexpr Resources operator-(const Resources& other) const
    {
        return { cpu - other.cpu, memory - other.memory, accelerators - other.accelerators };
    }
    constexpr Resources operator*(std::int64_t n) const { return { cpu * n, memory * n, accelerators * n }; }
};

//! IP address and port. Its text has the form "127.0.0.1:8080".
struct HostPort {
    std::string host;
    std::uint16_t port = 0;
    auto operator<=>(const HostPort&) const = default;
    std::string text() const { return host + ":" + std::to_string(port); }
};

} // namespace sardinerun::core

template <class Tag, class Rep> struct std::hash<sardinerun::core::Strong<Tag, Rep>> {
    std::size_t operator()(const sardinerun::core::Strong<Tag, Rep>& it) const { return std::hash<Rep>()(it.value()); }
};

template <> struct std::hash<sardinerun::core::AttemptId> {
    std::size_t operator()(const sardinerun::core::AttemptId& it) const
    {
        const std::size_t n = (std::size_t(it.task.value()) << 32) ^ it.attempt.value();
        return std::hash<sardinerun::core::JobId>()(it.job) ^ (n * 0x9e3779b97f4a7c15ULL);
    }
};
