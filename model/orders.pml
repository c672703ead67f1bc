/* Who gives orders to a runner: the protocol of rosemaryhook/order_rights.cc.

   Two hosts, the store's row that names the owner, one runner. A step of the
   clock is one unit; CONTACT and LEASE are in units. Answers of the store come
   as late as one likes, a claim's acknowledgement can be lost and the claim be
   carried out late, and a host can be paused between any two steps (it just
   does not move while the clock does).

   Property: orders of two hosts are never closer than LEASE.

   Variants, each of which must fail:
     FROM_ARRIVAL   contact counts from an answer's arrival
     NO_WAIT        whoever takes the row over orders at once
     LEASE_ONLY     whoever takes it over waits for the lease only
     NO_CONTACT     an owner orders however long it has not heard the store
     ADOPT_AT_ONCE  a claim found acknowledged later needs no wait
     ORDERS_AFTER_LEAVING  a host that said that it leaves still orders */

#define CONTACT 3
#define LEASE 2
#define NOBODY 0
#define UNSAMPLED 9

byte row = NOBODY;    /* the owner in the store: 1 or 2 */
byte known[3];        /* what a host takes for the owner */
byte age[3];          /* of its contact; CONTACT means too old */
byte wait[3];         /* until it may order */
byte asked[3];        /* 0: no question under way; else its age and one */
byte view[3];         /* what the store answered */
bool left[3];         /* said that it gives no more orders */
byte last_owner = NOBODY;
byte since = LEASE;   /* last order */

#ifdef NO_WAIT
#define TAKEOVER_WAIT 0
#elif defined(LEASE_ONLY)
#define TAKEOVER_WAIT LEASE
#else
#define TAKEOVER_WAIT (CONTACT + LEASE)
#endif

#ifdef NO_WAIT
#define LEAVE_WAIT 0
#else
#define LEAVE_WAIT LEASE
#endif

#ifdef ADOPT_AT_ONCE
#define ADOPT_WAIT 0
#else
#define ADOPT_WAIT (CONTACT + LEASE)
#endif

#ifdef NO_CONTACT
#define IN_CONTACT(me) true
#else
#define IN_CONTACT(me) (age[me] < CONTACT)
#endif

#ifdef ORDERS_AFTER_LEAVING
#define HAS_STOPPED(me) false
#else
#define HAS_STOPPED(me) left[me]
#endif

#ifdef FROM_ARRIVAL
#define AGE_OF_ANSWER(me) 0
#else
#define AGE_OF_ANSWER(me) (asked[me] - 1)
#endif

inline older(me) {
  if
  :: age[me] < CONTACT -> age[me]++
  :: else
  fi;
  if
  :: wait[me] > 0 -> wait[me]--
  :: else
  fi;
  if
  :: asked[me] > 0 && asked[me] <= CONTACT -> asked[me]++
  :: asked[me] > CONTACT -> asked[me] = 0; view[me] = UNSAMPLED  /* given up */
  :: else
  fi
}

proctype Clock() {
  do
  :: atomic {
       older(1);
       older(2);
       if
       :: since < LEASE -> since++
       :: else
       fi
     }
  od
}

proctype Host(byte me) {
  do
  :: atomic { asked[me] == 0 -> asked[me] = 1; view[me] = UNSAMPLED }
  :: atomic { asked[me] > 0 && view[me] == UNSAMPLED -> view[me] = row }
  :: atomic { asked[me] > 0 && view[me] != UNSAMPLED ->
       if
       :: view[me] == me && known[me] != me -> wait[me] = ADOPT_WAIT
       :: else
       fi;
       known[me] = view[me];
       age[me] = AGE_OF_ANSWER(me);
       asked[me] = 0;
       view[me] = UNSAMPLED
     }
  /* A claim that is acknowledged: its condition is that the row is as known. */
  :: atomic { asked[me] == 0 && row != me && row == known[me] && !left[me] ->
       if
       :: row == NOBODY -> wait[me] = 0
       :: row != NOBODY && left[row] -> wait[me] = LEAVE_WAIT
       :: else -> wait[me] = TAKEOVER_WAIT
       fi;
       row = me;
       known[me] = me
     }
  /* One whose acknowledgement is lost, or that is carried out late. */
  :: atomic { row != me && row == known[me] -> row = me }
  :: atomic { !left[me] -> left[me] = true }
  :: atomic { known[me] == me && IN_CONTACT(me) && wait[me] == 0 &&
              !HAS_STOPPED(me) ->
       assert(last_owner == NOBODY || last_owner == me || since >= LEASE);
       last_owner = me;
       since = 0
     }
  od
}

init {
  atomic {
    age[1] = CONTACT;
    age[2] = CONTACT;
    view[1] = UNSAMPLED;
    view[2] = UNSAMPLED;
    run Clock();
    run Host(1);
    run Host(2)
  }
}
