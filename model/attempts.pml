/* A task never runs twice at the same time, although the owner of its worker changes while exchanges are in progress.
 *
 * One home partition starts attempt 1 on worker 0, whose owner changes from epoch 1 to epoch 2, and starts attempt 2 on
 * worker 1 only when its rule allows it. The former owner continues without noticing the change. MUTANT selects a seeded
 * defect. */
#ifndef MUTANT
#define MUTANT 0
#endif
#define NONE 0

#if MUTANT == 1
#define isOrderAccepted true /* Defect: the worker accepts orders of any epoch. */
#else
#define isOrderAccepted (fence <= 1)
#endif
#if MUTANT == 3
#define isLapseCertain true /* Defect: a worker that does not answer is treated as empty. */
#else
#define isLapseCertain (hasLapsed && isFormerOwnerGone)
#endif
#define isLeaseNotRenewed (isFormerOwnerGone || fence > 1)

/* Worker 0. */
byte fence = 1; /* highest epoch that the worker has received */
bool isRunning1 = false;
bool hasStarted1 = false;
bool hasLapsed = false; /* the worker's lease lapsed: it stopped its tasks and began a new session */
bool isCut = false; /* no connection to the new owner */

/* Worker 1. */
bool isRunning2 = false;

/* The former owner. */
bool isFormerOwnerGone = false;
bool isPlaceAccepted = false; /* the former owner has accepted the placement request */

/* The new owner and the home. */
bool isPartitionTaken = false; /* the partition's row names the new owner */
bool isInventoryKnown = false;
bool isAttempt1Listed = false;
bool mayStart2 = false;

proctype FormerOwner()
{
    /* Capacity::onPlace by the owner of epoch 1. */
    if
    :: isPlaceAccepted = true
    :: skip
    fi;
    /* WorkerLink::next: the start may be delayed for any time; FakeWorker::sync checks it on arrival. */
    if
    :: atomic {
        isPlaceAccepted && isOrderAccepted && !hasLapsed -> isRunning1 = true; hasStarted1 = true
    }
    :: true
    fi;
    isFormerOwnerGone = true
}

proctype Lease()
{
    /* The worker's lease lapses when no owner renews it. The former owner renews it while it runs and is not fenced; the
     * new owner renews it as soon as it has reached the worker. */
    do
    :: atomic {
        !hasLapsed && isCut && isLeaseNotRenewed -> hasLapsed = true; isRunning1 = false
    }
    :: atomic { isRunning1 -> isRunning1 = false } /* the task ends by itself */
    :: hasLapsed && !isRunning1 -> break
    :: !isRunning1 && isInventoryKnown -> break
    od
}

proctype NewOwner()
{
    /* Membership::acquirePartitions, after the end of the former owner's member lease. */
    isPartitionTaken = true;
    if
    :: isCut = true
    :: skip
    fi;
    if
    :: atomic { !isCut -> fence = 2; isAttempt1Listed = hasStarted1; isInventoryKnown = true } /* WorkerLink::onResult */
    :: atomic {
        isCut && isLapseCertain -> isAttempt1Listed = false; isInventoryKnown = true /* WorkerLink::expireLease */
    }
    fi
}

proctype Home()
{
    /* Home::onInventory and Home::endMissingAttempts: the next attempt starts when the former one has certainly ended. */
    if
#if MUTANT == 2
    :: isPartitionTaken -> mayStart2 = true
#endif
    :: isInventoryKnown ->
        if
        :: !isAttempt1Listed -> mayStart2 = true
        :: isAttempt1Listed -> (!isRunning1); mayStart2 = true /* Home::onAttemptEnded */
        fi
    fi;
    atomic { mayStart2 -> isRunning2 = true }
}

proctype Monitor()
{
    assert(!(isRunning1 && isRunning2))
}

/* The task is eventually started again. */
ltl startsAgain { <> isRunning2 }

init
{
    atomic { run FormerOwner(); run Lease(); run NewOwner(); run Home(); run Monitor() }
}
