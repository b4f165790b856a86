/* A task is not started again while a run whose start was not answered in time may run, or has ended and can say so.
 *
 * The leader orders run 1 on worker 1. Answers and reports may be late or lost, and the worker may be cut off. Run 2 starts on
 * another worker only when the leader's rules allow it. MUTANT selects a seeded defect. */
#ifndef MUTANT
#define MUTANT 0
#endif
#define MAX_LOSSES 2

#if MUTANT == 1
#define isRevoked true /* Defect: a start that a report does not list is not revoked before the next one. */
#else
#define isRevoked isStopAnswered
#endif
#if MUTANT == 3
#define isOutcomeUnknowable hasLapsed /* Defect: a silent worker that is still in the registry counts as lost. */
#else
#define isOutcomeUnknowable (hasLapsed && !isListed)
#endif

/* Worker 1. */
bool isOrderInFlight = false;
bool isStopInFlight = false;
bool isRunning1 = false;
bool isClosed1 = false; /* run 1 has ended or was stopped, so it does not start any more */
bool isDone1 = false;
bool isEndReported = false; /* a report with the end was sent, whether or not it arrived */
bool hasLapsed = false; /* the lease has expired: all runs ended, and late orders are rejected */
bool isCut = false; /* cut off from the leader and from the registry */
bool isListed = true; /* in the registry */

/* The leader. */
bool isStopAnswered = false;
bool isRenewing = true; /* lease renewals are sent */
bool isReportRequested = false;
bool isReportInFlight = false;
bool reportListsRun = false;
bool reportListsEnd = false;
bool isRunning2 = false;
byte losses = 0;

proctype Worker1()
{
    do
    :: atomic { isOrderInFlight && !isCut -> isOrderInFlight = false; isRunning1 = !isClosed1 && !hasLapsed }
    :: atomic { isStopInFlight && !isCut -> isStopInFlight = false; isRunning1 = false; isClosed1 = true; isStopAnswered = true }
    :: atomic {
        isReportRequested && !isCut -> isReportRequested = false; isReportInFlight = true;
        reportListsRun = isRunning1; reportListsEnd = isDone1; isEndReported = isEndReported || isDone1
    }
    :: atomic { isReportInFlight && losses < MAX_LOSSES -> losses++; isReportInFlight = false; isReportRequested = true }
    :: isRunning2 || isDone1 -> break
    od;
    /* What is still on its way arrives late. */
    end: do
    :: atomic { isOrderInFlight && !isCut -> isOrderInFlight = false; isRunning1 = !isClosed1 && !hasLapsed }
    :: atomic { isStopInFlight && !isCut -> isStopInFlight = false; isRunning1 = false; isClosed1 = true; isStopAnswered = true }
    :: atomic {
        isReportRequested && !isCut -> isReportRequested = false; isReportInFlight = true;
        reportListsRun = isRunning1; reportListsEnd = isDone1; isEndReported = isEndReported || isDone1
    }
    od
}

proctype Task()
{
    end: do
    :: atomic { isRunning1 -> isRunning1 = false; isClosed1 = true; isDone1 = true }
    od
}

proctype Lease()
{
    end: do
    :: atomic { !isRenewing && !hasLapsed -> hasLapsed = true; isRunning1 = false; isClosed1 = true }
    :: atomic { isCut && isListed && hasLapsed -> isListed = false } /* the entry expires after the last heartbeat */
    od
}

proctype Network()
{
    if
    :: isCut = true
    :: skip
    fi
}

proctype Leader()
{
    bool isUncertain = true;
    isOrderInFlight = true; /* Worker::startRun */
    isReportRequested = true; /* Worker::doubtStart asks for a report */
    do
    :: atomic { isReportInFlight -> isReportInFlight = false };
        if
        :: reportListsEnd -> break /* Worker::applyEnds: the task is done */
        :: reportListsRun -> isUncertain = false; isReportRequested = true /* Worker::confirmStart */
        :: !reportListsEnd && !reportListsRun ->
            if
            :: isUncertain && !isStopAnswered ->
#if MUTANT == 1
                isRunning2 = true; break
#elif MUTANT == 2
                isStopInFlight = true; isRunning2 = true; break /* Defect: the answer to the stop is not awaited. */
#else
                isStopInFlight = true; /* Worker::revokeUnlistedStarts */
                if
                :: isStopAnswered -> isReportRequested = true /* Worker::onStopped */
                :: isCut -> isRenewing = false
                fi
#endif
            :: !isUncertain || isStopAnswered -> isRunning2 = true; break /* Worker::removeUnlistedRuns */
            fi
        fi
    :: !isReportInFlight && (isCut || losses > 0) && isRenewing -> isRenewing = false /* Worker::retryRenewal: unresponsive */
    :: !isReportInFlight && !isRenewing && isOutcomeUnknowable -> isRunning2 = true; break /* Worker::checkLeaseExpiry */
    od
}

proctype Monitor()
{
    end: do
    :: atomic { isRunning1 && isRunning2 -> assert(false) }
    :: atomic { isRunning2 && isEndReported && !isCut -> assert(false) }
    od
}

/* The task ends, or is started again. */
ltl settles { <> (isRunning2 || isDone1) }

init
{
    atomic { run Worker1(); run Task(); run Lease(); run Network(); run Leader(); run Monitor() }
}
