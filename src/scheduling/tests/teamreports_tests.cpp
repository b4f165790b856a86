//! What operators see of teams.

#include "scheduling/tests/cell.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::scheduling::testing;
using workflow::WorkflowOutcome;

namespace {

//! A leader with two workers of four cores each. Team "a" may run two cores and rely on one job per second.
struct ReportingCell : Cell {
    ReportingCell()
    {
        queue.isPublic = false;
        queue.stretch = 20;
        teams.resize(2);
        teams[0].id = core::TeamId("a");
        teams[0].cap.cpu = core::MilliCpu(2000);
        teams[0].guaranteedJobsPerSecond = 1;
        teams[1].id = core::TeamId("b");
        lead();
    }
    bool shows(const std::string& series) const { return metrics->text().find(series + "\n") != std::string::npos; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(team_reports)

//! Guards against operators who can't see that a team waits for its cap while cores are free. Load: a step of five
//! cores of a team that may use two.
BOOST_AUTO_TEST_CASE(metrics_show_what_a_team_uses_and_what_waits_for_its_cap)
{
    ReportingCell cell;
    BOOST_TEST((cell.submitFor("a", jobOf("wide", 5, 1000)).outcome == WorkflowOutcome::Accepted));
    cell.advance(ms(2500));
    BOOST_TEST(cell.shows("sardinerun_team_cores{state=\"running\",team=\"a\"} 2"));
    BOOST_TEST(cell.shows("sardinerun_team_cores{state=\"cap\",team=\"a\"} 2"));
    BOOST_TEST(cell.shows("sardinerun_team_cores{state=\"running\",team=\"b\"} 0"));
    BOOST_TEST(cell.shows("sardinerun_team_tasks_waiting{team=\"a\"} 3"));
    BOOST_TEST(cell.shows("sardinerun_team_share{team=\"a\"} 0.25"));
}

//! Guards against refusals whose reason is not visible, and against one that doesn't tell the caller that its team is
//! over its rate. Load: eight small jobs at once of a team with a bucket of five, on an idle and on a full fleet.
BOOST_AUTO_TEST_CASE(excess_and_refusals_are_counted_by_reason)
{
    ReportingCell cell;
    BOOST_TEST(cell.submitFor("a", jobOf("large", 1, 3000)).reason.find("rate") == std::string::npos);
    for (int n = 0; n < 8; ++n)
        cell.submitFor("a", jobOf("a" + std::to_string(n), 1, 10));
    BOOST_TEST(cell.shows("sardinerun_team_excess_total{team=\"a\"} 3"));
    BOOST_TEST((cell.submitFor("b", jobOf("full", 8, 900)).outcome == WorkflowOutcome::Accepted));
    cell.advance(ms(300));
    const auto refused = cell.submitFor("a", jobOf("more", 1, 10));
    BOOST_TEST((refused.outcome == WorkflowOutcome::Refused));
    BOOST_TEST(refused.reason == "its team is over its rate and the fleet is full");
    BOOST_TEST(refused.retryAfter.count() > 0);
    BOOST_TEST(cell.shows("sardinerun_team_refused_total{reason=\"rate\",team=\"a\"} 1"));
    BOOST_TEST(cell.shows("sardinerun_team_refused_total{reason=\"never\",team=\"a\"} 1"));
}

BOOST_AUTO_TEST_SUITE_END()
