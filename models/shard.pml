/* Ownership claim, fence and results of a shard; shard.md is the
   specification. */

#define MAX_RECORDS 6

byte records = 0;      /* end offset of the partition */
byte results = 0;      /* number of result records in it */
byte max_epoch = 0;    /* highest epoch that the log has seen */
byte next_sequence = 0;

proctype Instance() {
    byte end;
    byte epoch;
    byte sequence;
    byte view;         /* number of results that the instance has read */
    bool won;
    bool owner = false;

    do
    :: records >= MAX_RECORDS -> break
    :: !owner ->
        /* The former owner is suspected, rightly or not. */
        end = records;
        won = false;
        atomic {
            if
            :: records == end && records < MAX_RECORDS ->
                records++;
#ifdef BROKEN_FENCED_CLAIM
                max_epoch = end + 1;
                next_sequence = 1;
#endif
                if
                :: won = true
                :: skip /* the response is lost */
                fi
#ifdef BROKEN_FENCED_CLAIM
            /* An equal producer, epoch and sequence counts as a duplicate. */
            :: records != end && max_epoch == end + 1 -> won = true
#endif
            :: else -> skip
            fi
        }
        epoch = end + 1;
#ifdef BROKEN_NO_CATCH_UP
        view = results;
#endif
        if
        :: won ->
            atomic {
                if
#ifndef BROKEN_NO_FENCE
                :: epoch > max_epoch ->
                    max_epoch = epoch;
                    next_sequence = 1
#endif
                :: epoch < max_epoch -> won = false
                :: else -> skip
                fi
            }
        :: else -> skip
        fi;
        if
        :: won ->
#ifndef BROKEN_NO_CATCH_UP
            view = results;
#endif
            sequence = 1;
            owner = true
        :: else -> skip
        fi
    :: owner ->
        atomic {
            if
            :: epoch < max_epoch -> owner = false
            :: epoch > max_epoch ->
                /* Only without a fence: the first append sets the epoch. */
                max_epoch = epoch;
                next_sequence = 1
            :: else -> skip
            fi;
            if
            :: !owner -> skip
            :: owner && sequence == next_sequence && records < MAX_RECORDS ->
                /* The position that the owner assigns is that in the log. */
                assert(view == results);
                results++;
                records++;
                next_sequence++;
                if
                :: view++; sequence++
                :: skip /* the response is lost; the result is sent again */
                fi
            :: owner && sequence + 1 == next_sequence ->
                view++;
                sequence++
            :: else -> owner = false
            fi
        }
    od
}

init {
    atomic {
        run Instance();
        run Instance()
    }
}
