/* A request that may not be repeated runs at most once, though it is sent to three nodes, its key's owner changes, and
 * answers come late. MUTANT names a seeded mistake. */
#ifndef MUTANT
#define MUTANT 0
#endif
#define FREE 0
#define OPEN 1
#define ABANDONED 2
#define SENDINGS 3

byte kept = FREE; /* the record in the log */
byte keptClaim = 0; /* whose claim it is */
byte memory = FREE; /* of the present owner */
byte memoryClaim = 0;
bool isGranted[SENDINGS];
bool isAnswered[SENDINGS]; /* the claim's answer was waited for long enough, or came */
byte executions = 0;

#define maybeKeep if :: kept = OPEN; keptClaim = n + 1 :: skip fi

proctype Sending(byte n)
{
    /* OnceDesk::onClaim: granted only when the key is free, and only after the record is kept. */
    atomic {
        if
        :: memory == FREE || memory == ABANDONED ->
            memory = OPEN; memoryClaim = n + 1;
#if MUTANT == 1
            isGranted[n] = true; /* Mistake: granted before it is kept; the owner may end before that. */
            maybeKeep
#else
            kept = OPEN; keptClaim = n + 1; isGranted[n] = true
#endif
        :: else
        fi
    };
    /* AskDesk: the answer comes, or the node stops waiting and gives its own claim back. */
    if
    :: atomic { isGranted[n] -> isAnswered[n] = true }
    :: atomic {
        true -> isGranted[n] = false; isAnswered[n] = true;
        if
#if MUTANT == 2
        :: memory == OPEN -> /* Mistake: gives back whatever claim is there. */
#else
        :: memory == OPEN && memoryClaim == n + 1 ->
#endif
            memory = ABANDONED; kept = ABANDONED
        :: else
        fi
    }
    fi;
    /* Router::send: once, never again. */
    if
    :: isGranted[n] -> executions++
    :: else
    fi
}

proctype Takeover()
{
    /* Partition::recover: a new owner knows what was kept, and nothing else. */
    atomic {
#if MUTANT == 3
        if
        :: kept == OPEN -> memory = FREE /* Mistake: a claim without an answer is taken as never run. */
        :: else -> memory = kept
        fi;
#else
        memory = kept;
#endif
        memoryClaim = keptClaim
    }
}

proctype Monitor()
{
    assert(executions <= 1)
}

ltl ends { <> [] (isAnswered[0] && isAnswered[1] && isAnswered[2]) }

init
{
    atomic { run Sending(0); run Sending(1); run Sending(2); run Takeover(); run Monitor() }
}
