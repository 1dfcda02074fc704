/* The lease with fencing tokens; lease.md is the specification. */

#define NOBODY 255
#define LEASE 1
#define MAX_OFFSET 3
#define MAX_TIME 5

#ifdef BROKEN_EARLY_TAKEOVER
#define MAY_TAKE_OVER true
#else
#define MAY_TAKE_OVER (watched == last_offset && now - watched_since > LEASE)
#endif

byte now = 0;
byte last_offset = 0;      /* offset of the lease's last record, 0 if none */
byte holder = NOBODY;
byte fence = 0;
byte believes_until[2];    /* when an instance stops acting as holder */
byte believed_fence[2];
byte upstream_fence = 0;

active proctype Clock() {
    do
    :: now < MAX_TIME -> now++
    :: now == MAX_TIME -> break
    od
}

/* Appends a record; it is valid only if its predecessor is the latest. */
inline append(self, previous) {
    if
#ifdef BROKEN_NO_COMPARE
    :: last_offset < MAX_OFFSET ->
#else
    :: last_offset == previous && last_offset < MAX_OFFSET ->
#endif
        last_offset++;
        if
        :: holder != self -> holder = self; fence = last_offset
        :: else -> skip
        fi
    :: else -> skip
    fi
}

proctype Instance(byte self) {
    byte previous = 0;
    byte sent_at = 0;
    byte watched = 0;
    byte watched_since = 0;
    byte order_fence = 0;
    bool sent = false;

    do
    :: now == MAX_TIME -> break
    :: atomic {
        /* Reads the lease's latest record. */
        last_offset != watched ->
        watched = last_offset;
        watched_since = now
       }
    :: atomic {
        /* Prepares a record: an acquisition, a renewal or a takeover. */
        !sent && now < MAX_TIME &&
        (last_offset == 0 || holder == self || MAY_TAKE_OVER) ->
        previous = last_offset;
        sent_at = now;
        sent = true
       }
    :: atomic {
        /* The record is appended, now or much later. */
        sent ->
        append(self, previous);
        sent = false;
        if
        :: holder == self ->
            believed_fence[self] = fence;
            believes_until[self] = sent_at + LEASE;
            assert(!(believes_until[0] > now && believes_until[1] > now))
        :: else -> skip
        fi;
        previous = 0;
        sent_at = 0
       }
    :: atomic {
        /* Checks the lease just before sending an order. */
        believes_until[self] > now && order_fence == 0 ->
        order_fence = believed_fence[self]
       }
    :: atomic {
        /* The order arrives at any time after the check. */
        order_fence != 0 ->
        if
#ifdef BROKEN_NO_FENCE_CHECK
        :: true ->
#else
        :: order_fence >= upstream_fence ->
#endif
            assert(order_fence >= upstream_fence);
            upstream_fence = order_fence
        :: else -> skip
        fi;
        order_fence = 0
       }
    od
}

init {
    atomic { run Instance(0); run Instance(1) }
}
