//! Tests of the memory of calls in progress, under callers that send many jobs of many steps at once.

#include "dispatch/callbudget.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace sardinerun;
using dispatch::CallBudget;

namespace {

constexpr std::size_t maxBytes = std::size_t(2) << 20;

workflow::WorkflowCall callOf(std::size_t steps)
{
    workflow::WorkflowCall call;
    call.kind = workflow::CallKind::Submit;
    call.spec.payload = "1";
    call.spec.steps.resize(steps);
    return call;
}

} // namespace

//! Guards against 300 callers whose short texts of a thousand steps each become 200 KB.
BOOST_AUTO_TEST_CASE(callsOfManyStepsAreBoundedAndOrdinaryOnesFitBesideThem)
{
    CallBudget budget(maxBytes);
    std::vector<CallBudget::Share> shares;
    for (int n = 0; n < 300; ++n) {
        if (auto share = budget.tryTake(callOf(1000)))
            shares.push_back(std::move(share));
    }
    BOOST_TEST(!shares.empty());
    BOOST_TEST(budget.heldBytes() <= maxBytes);
    BOOST_TEST(budget.refused() == 300U - shares.size());
    BOOST_TEST((budget.tryTake(callOf(1)) != nullptr));
}

BOOST_AUTO_TEST_CASE(aCallBesideNoOtherIsNeverRefused)
{
    CallBudget budget(1000);
    const auto share = budget.tryTake(callOf(1000));
    BOOST_TEST((share != nullptr));
    BOOST_TEST((budget.tryTake(callOf(1)) == nullptr));
}

//! Guards against memory that stays reserved, so that a calm node refuses calls in the end.
BOOST_AUTO_TEST_CASE(aShareIsGivenBackOnceItsLastCopyIsGone)
{
    auto budget = std::make_unique<CallBudget>(maxBytes);
    CallBudget::Share copy;
    {
        const auto share = budget->tryTake(callOf(10));
        copy = share;
        BOOST_TEST(budget->heldBytes() > 0U);
    }
    BOOST_TEST(budget->heldBytes() > 0U);
    copy.reset();
    BOOST_TEST(budget->heldBytes() == 0U);
    copy = budget->tryTake(callOf(10));
    budget.reset(); // the answer comes after the node has stopped
    copy.reset();
}

//! Guards against a resend that is told that its job never runs, though it was accepted before.
BOOST_AUTO_TEST_CASE(onlyCallsThatAcceptNothingAreSaidNotToHaveRun)
{
    using workflow::CallKind;
    using workflow::WorkflowOutcome;
    BOOST_TEST((dispatch::tooManyCalls(CallKind::Submit).outcome == WorkflowOutcome::Uncertain));
    for (const CallKind kind : { CallKind::Read, CallKind::Cancel, CallKind::CountPending }) {
        const workflow::WorkflowResult it = dispatch::tooManyCalls(kind);
        BOOST_TEST((it.outcome == WorkflowOutcome::NotNow));
        BOOST_TEST((it.retryAfter > core::Duration(0)));
    }
}
