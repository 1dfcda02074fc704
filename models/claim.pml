/* The claim protocol; claim.md is the specification. */

#define INSTANCES 2
#define LOG_SIZE 6
#define NONE 255

/* A record is a claim (holder) or a release (RELEASE + holder). */
#define RELEASE 10

byte log_records[LOG_SIZE];
byte log_end = 0;
bool in_transit[INSTANCES];
byte runs = 0;
bool answered_not_run[INSTANCES];
bool dispatched[INSTANCES];

/* Computes the winner of the key by folding the whole log. */
inline fold(winner) {
    byte position = 0;
    winner = NONE;
    do
    :: position < log_end ->
        if
        :: log_records[position] < RELEASE && winner == NONE ->
            winner = log_records[position]
        :: log_records[position] >= RELEASE &&
           winner == log_records[position] - RELEASE ->
            winner = NONE
        :: else -> skip
        fi;
        position++
    :: else -> break
    od;
    position = 0
}

inline append(record) {
    if
    :: log_end < LOG_SIZE ->
        log_records[log_end] = record;
        log_end++
    :: else -> skip
    fi
}

inline dispatch(self) {
    runs++;
    dispatched[self] = true;
    assert(runs <= 1);
    assert(!answered_not_run[self])
}

/* Applies a delayed append, for which its sender may no longer wait. */
active proctype Transit() {
    do
    :: atomic { in_transit[0] -> in_transit[0] = false; append(0) }
    :: atomic { in_transit[1] -> in_transit[1] = false; append(1) }
    od
}

proctype Instance(byte self) {
    byte winner = NONE;
    bool appended = false;
    bool released = false;

    /* Sends the claim; it is appended now or at any later time. */
    if
    :: atomic { append(self); appended = true }
    :: in_transit[self] = true
    fi;

#ifdef BROKEN_NO_READ_BACK
    if
    :: atomic { appended -> dispatch(self) }
    :: else -> skip
    fi;
    goto done;
#endif

wait:
    if
    :: atomic {
        /* Reads the log to its end and checks which claim won. */
        fold(winner);
        if
        :: winner == self -> skip
        :: else -> skip
        fi
       }
    :: goto done /* crash */
    fi;
    if
    :: winner == self ->
        if
        :: goto execute
        :: goto give_up /* the deadline passed meanwhile */
        :: goto done /* crash */
        fi
    :: winner != self && winner != NONE -> goto follow
    :: winner == NONE && in_transit[self] ->
        if
        :: goto wait
        :: goto give_up
        fi
    :: winner == NONE && !in_transit[self] -> goto wait_or_end
    fi;

wait_or_end:
    if
    :: goto wait
    :: goto done
    fi;

follow:
#ifdef BROKEN_RELEASE_BY_OTHER
    atomic { append(RELEASE + winner) };
    goto wait;
#endif
    /* Waits for the holder's outcome; if the holder is lost, the request
       may have run. */
    if
    :: goto wait
    :: goto done
    fi;

execute:
    /* Only this instance can release the claim, and it has not. */
    atomic { dispatch(self) };
    goto done;

give_up:
    atomic {
        answered_not_run[self] = true;
        assert(!dispatched[self])
    };
    /* Waits for the late claim to be appended and releases it. */
    do
    :: atomic {
        fold(winner);
        winner == self && !released ->
#ifdef BROKEN_RUN_AFTER_GIVING_UP
        dispatch(self);
#endif
        append(RELEASE + self);
        released = true
       }
    :: goto done /* crash, or the claim was never appended */
    od;

done:
    skip
}

init {
    byte index = 0;
    do
    :: index < LOG_SIZE -> log_records[index] = NONE; index++
    :: else -> break
    od;
    atomic { run Instance(0); run Instance(1) }
}
