/* A request that is not repeatable is executed at most once, although it is sent to three nodes, the owner of its key
 * changes, and answers are late. MUTANT selects a seeded defect. */
#ifndef MUTANT
#define MUTANT 0
#endif
#define FREE 0
#define OPEN 1
#define ABANDONED 2
#define SENDERS 3

byte persisted = FREE; /* the state of the key's record in the log */
byte persistedClaim = 0; /* the sender with the claim, counted from 1 */
byte ownerState = FREE; /* the state in the memory of the current owner */
byte ownerClaim = 0;
bool isGranted[SENDERS];
bool isAnswered[SENDERS]; /* the claim was answered, or its timeout has passed */
byte executionCount = 0;

#define maybePersist if :: persisted = OPEN; persistedClaim = n + 1 :: skip fi

proctype Sender(byte n)
{
    /* ClaimHandler::onClaim: grants the claim only when the key is free and the record has been persisted. */
    atomic {
        if
        :: ownerState == FREE || ownerState == ABANDONED ->
            ownerState = OPEN; ownerClaim = n + 1;
#if MUTANT == 1
            isGranted[n] = true; /* Defect: granted before it is persisted; the owner may stop before that. */
            maybePersist
#else
            persisted = OPEN; persistedClaim = n + 1; isGranted[n] = true
#endif
        :: else
        fi
    };
    /* PartitionClient: the answer arrives, or the node stops waiting and releases its own claim. */
    if
    :: atomic { isGranted[n] -> isAnswered[n] = true }
    :: atomic {
        true -> isGranted[n] = false; isAnswered[n] = true;
        if
#if MUTANT == 2
        :: ownerState == OPEN -> /* Defect: releases the claim of any sender. */
#else
        :: ownerState == OPEN && ownerClaim == n + 1 ->
#endif
            ownerState = ABANDONED; persisted = ABANDONED
        :: else
        fi
    }
    fi;
    /* Router::send: sends the request at most once. */
    if
    :: isGranted[n] -> executionCount++
    :: else
    fi
}

proctype Takeover()
{
    /* Partition::recover: a new owner has only the persisted state. */
    atomic {
#if MUTANT == 3
        if
        :: persisted == OPEN -> ownerState = FREE /* Defect: a claim without an answer is treated as never executed. */
        :: else -> ownerState = persisted
        fi;
#else
        ownerState = persisted;
#endif
        ownerClaim = persistedClaim
    }
}

proctype Monitor()
{
    assert(executionCount <= 1)
}

ltl ends { <> [] (isAnswered[0] && isAnswered[1] && isAnswered[2]) }

init
{
    atomic { run Sender(0); run Sender(1); run Sender(2); run Takeover(); run Monitor() }
}
