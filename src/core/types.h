#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

//! Core types: ids, units and times that every module shares.
namespace sardinerun::core {

//! A value of one kind that cannot be mixed with a value of another kind.
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

//! A count of a unit, which can be added, subtracted and scaled.
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

using NodeId = Strong<struct NodeTag, std::string>; //!< one entry node, as its settings name it
using Incarnation = Strong<struct IncarnationTag, std::string>; //!< one run of a node's process
using VmId = Strong<struct VmTag, std::string>; //!< one worker or runner VM
using RackId = Strong<struct RackTag, std::string>;
using FailureDomainId = Strong<struct FailureDomainTag, std::string>;
using TeamId = Strong<struct TeamTag, std::string>;
using ServiceId = Strong<struct ServiceTag, std::string>;
using JobId = Strong<struct JobTag, std::string>;
using WriteId = Strong<struct WriteTag, std::string>; //!< recognises one's own write after a lost answer
using PresetName = Strong<struct PresetTag, std::string>;
using IdempotencyKey = Strong<struct IdempotencyKeyTag, std::string>;
using PartitionId = Strong<struct PartitionTag, std::uint32_t>;
using TaskIndex = Strong<struct TaskTag, std::uint32_t>; //!< index of a task in its job
using AttemptNumber
    = Strong<struct AttemptTag, std::uint64_t>; //!< grows over all attempts of a task, also across owners
using Epoch = Strong<struct EpochTag, std::uint64_t>; //!< grows with each change of a partition's owner
using RowVersion = Strong<struct RowVersionTag, std::uint64_t>; //!< 0 means that the row does not exist
using ConfigVersion = Strong<struct ConfigVersionTag, std::uint64_t>; //!< 0 means no configuration yet
using LogSequence = Strong<struct LogSequenceTag, std::uint64_t>;

using MilliCpu = Quantity<struct MilliCpuTag>; //!< thousandths of a core
using MebiBytes = Quantity<struct MebiBytesTag>;
using Accelerators = Quantity<struct AcceleratorsTag>;
using Slots = Quantity<struct SlotsTag>; //!< requests that a runner serves at the same time

//! Time of the runtime's clock; it never goes back and has no relation to the date.
struct RuntimeClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that std::chrono asks for
};
using TimePoint = RuntimeClock::time_point;
using Duration = RuntimeClock::duration;

//! Whole milliseconds of a duration, for logs and encodings.
constexpr std::int64_t toMs(Duration it)
{
    return it / std::chrono::milliseconds(1);
}

//! Milliseconds since 1970 in UTC. Only for what outlives a process; intervals use TimePoint.
using WallTime = Quantity<struct WallTimeTag>;

//! Names one attempt of one task everywhere.
struct AttemptId {
    JobId job;
    TaskIndex task;
    AttemptNumber attempt;
    auto operator<=>(const AttemptId&) const = default;
};

//! What a task needs or a worker has, in each dimension.
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

//! IP address and port, in the form "127.0.0.1:8080".
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
