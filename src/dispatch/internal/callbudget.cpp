#include "dispatch/callbudget.h"

namespace sardinerun::dispatch {

namespace {

//! The job in the call, its encoded message, and the copy that the client sends.
constexpr std::size_t copies = 3;
constexpr std::size_t emptyCallBytes = 1024; //!< without its job
constexpr core::Duration retryAfter = std::chrono::milliseconds(400);

std::size_t bytesOfCall(const workflow::WorkflowCall& call)
{
    std::size_t bytes = emptyCallBytes + call.host.size() + call.path.size() + call.spec.payload.size();
    for (const workflow::StepSpec& it : call.spec.steps)
        bytes += workflow::bytesOf(it);
    return copies * bytes;
}

} // namespace

CallBudget::Share CallBudget::tryTake(const workflow::WorkflowCall& call)
{
    const std::size_t bytes = bytesOfCall(call);
    if (*m_heldBytes > 0 && *m_heldBytes + bytes > m_maxBytes) {
        ++m_refused;
        return nullptr;
    }
    *m_heldBytes += bytes;
    return { this, [held = m_heldBytes, bytes](const void*) { *held -= bytes; } };
}

workflow::WorkflowResult tooManyCalls(workflow::CallKind kind)
{
    const bool isSubmission = kind == workflow::CallKind::Submit;
    workflow::WorkflowResult it
        = workflow::answerOf(isSubmission ? workflow::WorkflowOutcome::Uncertain : workflow::WorkflowOutcome::NotNow,
            "too many calls are in progress");
    it.retryAfter = retryAfter;
    return it;
}

} // namespace sardinerun::dispatch
