/* Configuration: exactly one version is acted under, though nodes pause, lose answers, lapse and come back.
 * See docs/PROOFS.md for the functions that the steps stand for. MUTANT names a seeded mistake. */
#ifndef MUTANT
#define MUTANT 0
#endif
#ifndef VERSIONS
#define VERSIONS 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#define NODES 2
#define RUNS 4 /* bounds the search: a run ends only by a fault or a mistake */

/* The store's rows. */
byte config = 1;
byte inForceRow = 0;
bool isMember[NODES];
byte rowConfirmed[NODES];
byte rowRun[NODES]; /* which run of the node wrote the row */

/* What each node knows. */
byte runOf[NODES];
bool isJoined[NODES];
bool isFresh[NODES]; /* its lease has not lapsed by its own clock */
byte confirmed[NODES];
byte seenConfig[NODES];
byte seenInForce[NODES];
byte faults = 0;

#define isCertain(n) (isJoined[n] && isFresh[n] && seenInForce[n] > 0)
#if MUTANT == 1
/* Mistake: a node goes on acting under the old version after it confirmed the new one. */
#define actsUnder(n) isCertain(n)
#else
#define actsUnder(n) (isCertain(n) && confirmed[n] == seenInForce[n] && seenConfig[n] == seenInForce[n])
#endif
#if MUTANT == 2
#define isReadStillNewest true /* Mistake: joining is not checked against the configuration that was read. */
#else
#define isReadStillNewest (seenConfig[n] == config)
#endif
#if MUTANT == 3
#define hasLapsed(m) true /* Mistake: a member is removed while its lease holds. */
#else
#define hasLapsed(m) (!isFresh[m])
#endif
#if MUTANT == 5
#define mustConfirm false /* Mistake: nobody confirms a newer configuration. */
#else
#define mustConfirm (seenConfig[n] > confirmed[n])
#endif
#define hasConfirmed(m) (!isMember[m] || rowConfirmed[m] >= config)
#define isOwnRow (isMember[n] && rowRun[n] == runOf[n])
#define mayActivate (isJoined[n] && seenConfig[n] == config && seenInForce[n] == inForceRow && config > inForceRow && confirmed[n] >= config)

inline fault()
{
    faults++
}

proctype Node(byte n)
{
    byte other = 1 - n;
    do
    :: true ->
        /* Membership::onLooked: reads all rows as of one moment; dropOut when others took this run as gone. */
        atomic {
            if
            :: isJoined[n] && !isOwnRow -> isJoined[n] = false; isFresh[n] = false; confirmed[n] = 0; runOf[n]++
            :: else
            fi;
            seenConfig[n] = config;
            seenInForce[n] = inForceRow
        }
        /* Membership::join. */
        atomic {
            if
            :: !isJoined[n] && runOf[n] < RUNS && isReadStillNewest ->
                isMember[n] = true; rowRun[n] = runOf[n]; rowConfirmed[n] = seenConfig[n];
                confirmed[n] = seenConfig[n]; isJoined[n] = true; isFresh[n] = true
            :: else
            fi
        }
        /* Membership::renew; when the answer is lost the lease is not counted as renewed. */
        atomic {
            if
            :: isJoined[n] && isOwnRow ->
                if
                :: mustConfirm -> confirmed[n] = seenConfig[n]
                :: else
                fi;
                rowConfirmed[n] = confirmed[n];
                if
                :: isFresh[n] = true
                :: faults < FAULTS -> fault()
                fi
            :: else
            fi
        }
        /* Membership::activate, conditional on the rows as they were read. */
        atomic {
            if
            :: mayActivate && hasConfirmed(0) && hasConfirmed(1) -> inForceRow = config
            :: else
            fi
        }
        /* Membership::removeLapsed. */
        atomic {
            if
            :: isJoined[n] && isMember[other] && hasLapsed(other) -> isMember[other] = false
            :: true
            fi
        }
        /* A pause, or a store that does not answer, lets the lease lapse. */
        atomic {
            if
            :: isFresh[n] && faults < FAULTS -> fault(); isFresh[n] = false
            :: true
            fi
        }
    od
}

proctype Operator()
{
    /* CellTask::applyConfigure: compare and set, so versions only grow. */
    do
    :: atomic { config < VERSIONS -> config++ }
    :: config == VERSIONS -> break
    od
}

/* Never two versions at one moment; evaluated after any step. */
proctype Monitor()
{
    assert(!(actsUnder(0) && actsUnder(1) && seenInForce[0] != seenInForce[1]))
}

/* An accepted configuration comes into force. */
ltl inForce { <> [] (inForceRow == config) }

init
{
    atomic { run Node(0); run Node(1); run Operator(); run Monitor() }
}
