/* Orders of two owners to one sampler; orders.md is its specification. */

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
byte owner = 0;               /* whose epoch is the highest */
byte announced_by = NOBODY;   /* the last announcement on the log */
byte announced_at = 0;
byte last_holder = NOBODY;    /* the last order that reached the sampler */
byte last_order = 0;

active proctype Clock() {
    do
    :: now < MAX_TIME -> now++
    :: now == MAX_TIME -> break
    od
}

/* Takes an order at the sampler. */
inline order(self) {
    assert(last_holder == NOBODY || last_holder == self || APART);
    last_holder = self;
    last_order = now
}

proctype Instance(byte self) {
    byte mine_at = 0;
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
        mine_at = now;
        pending = true
       }
    /* It may have been replaced since; the announcement still holds. */
    :: atomic {
        pending ->
        pending = false;
        if
#ifdef BROKEN_OLD_ANNOUNCEMENT
        :: true -> order(self)
#else
        :: now - mine_at <= VALID -> order(self)
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
