/* Configuration: at most one version is active at any time, although nodes pause, lose answers, lose their leases and join
 * again. docs/PROOFS.md lists the functions that the steps model. MUTANT selects a seeded defect. */
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
#define MAX_INCARNATIONS 4 /* bounds the search; only a fault or a defect ends an incarnation */

/* The store's rows. */
byte config = 1;
byte inForceRow = 0;
bool isMember[NODES];
byte rowConfirmed[NODES];
byte rowIncarnation[NODES]; /* the incarnation of the node that wrote the row */

/* The state of each node. */
byte incarnationOf[NODES];
bool isJoined[NODES];
bool isLeaseValid[NODES]; /* by the node's own clock */
byte confirmed[NODES];
byte seenConfig[NODES];
byte seenInForce[NODES];
byte faults = 0;

#define isCertain(n) (isJoined[n] && isLeaseValid[n] && seenInForce[n] > 0)
#if MUTANT == 1
/* Defect: the old version stays active on a node that has confirmed the new one. */
#define hasActiveConfig(n) isCertain(n)
#else
#define hasActiveConfig(n) (isCertain(n) && confirmed[n] == seenInForce[n] && seenConfig[n] == seenInForce[n])
#endif
#if MUTANT == 2
#define isConfigCurrent true /* Defect: joining does not check that the configuration is still the one that was read. */
#else
#define isConfigCurrent (seenConfig[n] == config)
#endif
#if MUTANT == 3
#define hasLapsed(m) true /* Defect: a member is removed while its lease is valid. */
#else
#define hasLapsed(m) (!isLeaseValid[m])
#endif
#if MUTANT == 5
#define mustConfirm false /* Defect: no node confirms a newer configuration. */
#else
#define mustConfirm (seenConfig[n] > confirmed[n])
#endif
#define hasConfirmed(m) (!isMember[m] || rowConfirmed[m] >= config)
#define isOwnRow (isMember[n] && rowIncarnation[n] == incarnationOf[n])
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
        /* Membership::onRefreshed: reads a consistent snapshot of all rows; resetToNonMember if others removed this incarnation. */
        atomic {
            if
            :: isJoined[n] && !isOwnRow -> isJoined[n] = false; isLeaseValid[n] = false; confirmed[n] = 0; incarnationOf[n]++
            :: else
            fi;
            seenConfig[n] = config;
            seenInForce[n] = inForceRow
        }
        /* Membership::join. */
        atomic {
            if
            :: !isJoined[n] && incarnationOf[n] < MAX_INCARNATIONS && isConfigCurrent ->
                isMember[n] = true; rowIncarnation[n] = incarnationOf[n]; rowConfirmed[n] = seenConfig[n];
                confirmed[n] = seenConfig[n]; isJoined[n] = true; isLeaseValid[n] = true
            :: else
            fi
        }
        /* Membership::renew: without an answer, the node does not treat its lease as renewed. */
        atomic {
            if
            :: isJoined[n] && isOwnRow ->
                if
                :: mustConfirm -> confirmed[n] = seenConfig[n]
                :: else
                fi;
                rowConfirmed[n] = confirmed[n];
                if
                :: isLeaseValid[n] = true
                :: faults < FAULTS -> fault()
                fi
            :: else
            fi
        }
        /* Membership::activate: conditional on the rows that were read. */
        atomic {
            if
            :: mayActivate && hasConfirmed(0) && hasConfirmed(1) -> inForceRow = config
            :: else
            fi
        }
        /* Membership::removeExpired. */
        atomic {
            if
            :: isJoined[n] && isMember[other] && hasLapsed(other) -> isMember[other] = false
            :: true
            fi
        }
        /* The lease lapses during a pause of the node or an outage of the store. */
        atomic {
            if
            :: isLeaseValid[n] && faults < FAULTS -> fault(); isLeaseValid[n] = false
            :: true
            fi
        }
    od
}

proctype Operator()
{
    /* CellTask::applyConfigure: compare and set, so versions only increase. */
    do
    :: atomic { config < VERSIONS -> config++ }
    :: config == VERSIONS -> break
    od
}

/* Never two active versions at the same time; evaluated after any step. */
proctype Monitor()
{
    assert(!(hasActiveConfig(0) && hasActiveConfig(1) && seenInForce[0] != seenInForce[1]))
}

/* An accepted configuration comes into force eventually. */
ltl inForce { <> [] (inForceRow == config) }

init
{
    atomic { run Node(0); run Node(1); run Operator(); run Monitor() }
}
