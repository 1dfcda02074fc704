/* Weight orders of two owners to one sampler; orders.md is the
   specification. */

#define LEASE 2
#define VALID 1
#define MAX_TIME 8
#define NOBODY 255

#ifdef BROKEN_NO_WAIT
#define MAY_ANNOUNCE true
#else
#define KNOWN (announced_by == NOBODY || announced_by == self)
#define MAY_ANNOUNCE (KNOWN || now - announced_at > LEASE + VALID)
#endif
#define APART (now - last_order >= LEASE)

byte now = 0;
byte owner = 0;               /* the instance with the highest epoch */
byte announced_by = NOBODY;   /* the sender of the last announcement */
byte announced_at = 0;
byte last_holder = NOBODY;    /* the sender of the last order at the sampler */
byte last_order = 0;

active proctype Clock() {
    do
    :: now < MAX_TIME -> now++
    :: now == MAX_TIME -> break
    od
}

/* Accepts an order at the sampler. */
inline order(self) {
    assert(last_holder == NOBODY || last_holder == self || APART);
    last_holder = self;
    last_order = now
}

proctype Instance(byte self) {
    byte my_announcement = 0;
    bool pending = false;

    do
    :: now == MAX_TIME -> break
    :: atomic { owner != self && !pending -> owner = self }
    /* The log refuses the announcement of an owner that was fenced. */
    :: atomic {
        owner == self && !pending && MAY_ANNOUNCE ->
#ifndef BROKEN_NO_ANNOUNCEMENT
        announced_by = self;
        announced_at = now;
#endif
        my_announcement = now;
        pending = true
       }
    /* Another may have become owner since; the announcement stays valid. */
    :: atomic {
        pending ->
        pending = false;
        if
#ifdef BROKEN_OLD_ANNOUNCEMENT
        :: true -> order(self)
#else
        :: now - my_announcement <= VALID -> order(self)
        :: else -> skip
#endif
        fi
       }
    od
}

init {
    atomic {
        run Instance(0);
        run Instance(1)
    }
}
