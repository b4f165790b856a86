#include "partition/internal/attemptlabel.h"

namespace sardinerun::partition {

namespace {

constexpr const char* preemptible = "preemptible";
constexpr const char* fixed = "fixed";

} // namespace

std::string encodeLabel(const AttemptLabel& label)
{
    return std::string(jobs::nameOf(label.kind)) + "/" + jobs::nameOf(label.urgency) + "/"
        + (label.isPreemptible ? preemptible : fixed);
}

AttemptLabel decodeLabel(const std::string& text)
{
    AttemptLabel label;
    const std::size_t first = text.find('/');
    const std::size_t last = text.rfind('/');
    if (first == std::string::npos || first == last)
        return label;
    label.kind = jobs::jobKindOf(text.substr(0, first)).value_or(label.kind);
    label.urgency = jobs::urgencyOf(text.substr(first + 1, last - first - 1)).value_or(label.urgency);
    label.isPreemptible = text.substr(last + 1) == preemptible;
    return label;
}

} // namespace sardinerun::partition
