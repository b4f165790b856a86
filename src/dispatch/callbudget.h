#pragma once

#include "workflow/workflowtypes.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace sardinerun::dispatch {

//! Bounds the memory of the calls that wait for an answer. A call may take many times as much as its text, so the
//! limits of the HTTP server do not bound it. Used on one loop.
class CallBudget {
public:
    //! Keeps the memory of one call reserved until the last copy is destroyed.
    using Share = std::shared_ptr<const void>;

    explicit CallBudget(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    //! Returns null if the call has to be refused. A call beside no other is never refused.
    Share tryTake(const workflow::WorkflowCall& call);
    std::size_t heldBytes() const { return *m_heldBytes; }
    std::uint64_t refused() const { return m_refused; } //!< calls

private:
    std::size_t m_maxBytes = 0;
    std::shared_ptr<std::size_t> m_heldBytes = std::make_shared<std::size_t>(0); //!< shares may outlive the budget
    std::uint64_t m_refused = 0;
};

//! Returns the answer to a call of this kind that was not passed on. For a submission the outcome is uncertain: an
//! earlier one with the same id may have been accepted.
workflow::WorkflowResult tooManyCalls(workflow::CallKind kind);

} // namespace sardinerun::dispatch
