#include "jobs/jobtypes.h"

namespace sardinerun::jobs {

namespace {

template <class Value> struct NamedValue {
    Value value;
    const char* text;
};

constexpr std::array<NamedValue<JobKind>, 3> kindNames { {
    { JobKind::Batch, "batch" },
    { JobKind::Service, "service" },
    { JobKind::Gang, "allAtOnce" },
} };

constexpr std::array<NamedValue<Urgency>, 3> urgencyNames { {
    { Urgency::Urgent, "urgent" },
    { Urgency::Normal, "normal" },
    { Urgency::Low, "low" },
} };

constexpr std::array<NamedValue<JobState>, 6> stateNames { {
    { JobState::Waiting, "waiting" },
    { JobState::Running, "running" },
    { JobState::Succeeded, "succeeded" },
    { JobState::Failed, "failed" },
    { JobState::Cancelled, "cancelled" },
    { JobState::Unknown, "unknown" },
} };

template <class Names, class Value> const char* nameIn(const Names& names, Value value)
{
    for (const auto& it : names) {
        if (it.value == value)
            return it.text;
    }
    return "unknown";
}

template <class Value, std::size_t count>
std::optional<Value> valueIn(const std::array<NamedValue<Value>, count>& names, std::string_view text)
{
    for (const auto& it : names) {
        if (text == it.text)
            return it.value;
    }
    return std::nullopt;
}

} // namespace

const char* nameOf(JobKind it)
{
    return nameIn(kindNames, it);
}

const char* nameOf(Urgency it)
{
    return nameIn(urgencyNames, it);
}

const char* nameOf(JobState it)
{
    return nameIn(stateNames, it);
}

std::optional<JobKind> jobKindOf(std::string_view name)
{
    return valueIn(kindNames, name);
}

std::optional<Urgency> urgencyOf(std::string_view name)
{
    return valueIn(urgencyNames, name);
}

} // namespace sardinerun::jobs
