/* The core protocol: contact, acceptance and ownership (rosemaryhook/contact.cc).
 *
 * Session 0 owns a backend server. Session 1 claims it in one change (rc).
 * Session 2 is a member. One other change (rj) alters the members: with RESTART
 * session 3 replaces session 2, whose process has ended and lost its memory;
 * otherwise sessions 3 and 4 join. The two changes come in either order.
 *
 * Only session 0 acts as the old owner, so only its questions are modelled; an
 * answer may be lost or come arbitrarily late, which covers cuts, outages of
 * the table and pauses. Ages saturate at SPAN: whether a question was asked
 * SPAN or more ticks ago is all that matters.
 *
 * Reductions, each of which keeps every bad run. A question is answered when it
 * is asked: an answer that is formed later knows no less, so it stops session 0
 * no later. An answer as old as SPAN keeps nobody in contact and is dropped. A
 * change is acknowledged, and in force, as early as the rules allow.
 *
 * Property: once session 1 may act as owner, session 0 does not.
 *
 * Each of these macros takes one rule away, and the property must then fail:
 *   COUNT_FROM_ARRIVAL  an answer counts from when it arrives
 *   NO_MAJORITY         a change needs no acknowledgement
 *   NO_EARLIER_MAJORITY a change needs a majority of the newest members only
 *   NO_WAIT             a change is in force once acknowledged
 *   SAME_SESSION        a restarted process answers as the session it was
 *   WRONG_DEATH         a session is dropped although it still answers
 */

#define SPAN 2

byte head = 0;      /* newest revision in the table */
byte rc = 0;        /* revision of the claim, 0 before it */
byte rj = 0;        /* revision of the change of members, 0 before it */
byte known[4];      /* newest revision heard of, by session */
bool up2 = true;    /* session 2's process runs */

byte age[4] = SPAN;   /* of the newest answered question of session 0 */
byte asked[4] = SPAN; /* age of the question under way */
bool asking[4];       /* an answer is under way; [0] is the table's */
byte said[4];         /* revision in that answer */

bool acknowledged = false;
byte waited = 0;
bool in_force = false;

byte p;

#define OLDER(x) x = (x < SPAN -> x + 1 : SPAN)
#define FRESH(n) (age[n] < SPAN)
#define KNOWS_JOIN(n) (rj > 0 && known[n] >= rj)

/* MajoritySent: session 0 counts itself, members as of the revision it holds */
#ifdef RESTART
#define PEER_MAJORITY (KNOWS_JOIN(0) -> (FRESH(1) || FRESH(3)) \
                                     : (FRESH(1) || FRESH(2)))
#else
#define PEER_MAJORITY (KNOWS_JOIN(0) -> (FRESH(1) + FRESH(2) + FRESH(3) >= 2) \
                                     : (FRESH(1) || FRESH(2)))
#endif

/* MayAct, for the old owner: in contact and not knowing of the claim */
#define OLD_OWNER_ACTS ((rc == 0 || known[0] < rc) && \
                        (FRESH(0) || PEER_MAJORITY))

/* HasAcknowledged counts a dropped session */
#define ACK(n) (known[n] >= rc)
#ifdef RESTART
#define EARLIER (ACK(0) || ACK(2) || KNOWS_JOIN(1))
#define NEWER (ACK(0) || ACK(3))
#else
#define EARLIER (ACK(0) || ACK(2))
/* session 4 is like session 3 but never asked by session 0 */
#define NEWER (ACK(0) + ACK(2) + ACK(3) + 1 >= 2)
#endif

/* IsAcknowledged: every membership from the last in force up to the claim */
#define JOIN_COUNTS (rj > 0 && rj <= rc)
#if defined(NO_MAJORITY)
#define MAJORITIES true
#elif defined(NO_EARLIER_MAJORITY)
#define MAJORITIES (JOIN_COUNTS -> NEWER : EARLIER)
#else
#define MAJORITIES (EARLIER && (!JOIN_COUNTS || NEWER))
#endif

#ifdef NO_WAIT
#define WAITED true
#else
#define WAITED (waited >= SPAN)
#endif

#if defined(WRONG_DEATH)
#define MAY_JOIN true
#elif defined(RESTART)
#define MAY_JOIN (!up2)
#else
#define MAY_JOIN true
#endif

/* a session is asked while it runs, session 3 once it is known of */
#define MAY_ASK(n) ((n != 2 || up2) && (n != 3 || KNOWS_JOIN(0)))

inline forget(n) {
  asking[n] = false;
  asked[n] = SPAN;
  said[n] = 0
}

/* NoteTableAnswer, NotePeerAnswer */
inline take_answer(n) {
  if
  :: said[n] > known[0] -> known[0] = said[n]
  :: else
  fi;
#ifdef COUNT_FROM_ARRIVAL
  age[n] = 0;
#else
  if
  :: asked[n] < age[n] -> age[n] = asked[n]
  :: else
  fi;
#endif
  forget(n)
}

inline talk(n) {
  if
  :: !asking[n] && MAY_ASK(n) ->
       asking[n] = true;
       asked[n] = 0;
       said[n] = (n == 0 -> head : known[n])
  :: asking[n] -> forget(n)
  :: asking[n] -> take_answer(n)
  fi
}

inline tick() {
  for (p : 0 .. 3) {
    OLDER(age[p]);
    if
    :: asking[p] ->
         OLDER(asked[p]);
#ifndef COUNT_FROM_ARRIVAL
         if
         :: asked[p] == SPAN -> forget(p)
         :: else
         fi
#endif
    :: else
    fi
  }
  p = 0;
  if
  :: acknowledged && !in_force -> OLDER(waited)
  :: else
  fi
}

/* AdvanceInForce */
inline advance() {
  if
  :: rc > 0 && !acknowledged && MAJORITIES -> acknowledged = true
  :: else
  fi;
  if
  :: acknowledged && !in_force && WAITED -> in_force = true
  :: else
  fi
}

active proctype Fleet() {
  do
  :: atomic { tick(); advance() }
  :: atomic { talk(0); advance() }
  :: atomic { talk(1); advance() }
  :: atomic { talk(2); advance() }
  :: atomic { talk(3); advance() }

  /* CatchUp: a running session hears of the newest change */
  :: atomic { known[1] < head -> known[1] = head; advance() }
  :: atomic { up2 && known[2] < head -> known[2] = head; advance() }
  :: atomic { rj > 0 && known[3] < head -> known[3] = head; advance() }

  /* Commit: a conditional write on head */
  :: atomic { rc == 0 && known[1] == head ->
       head++; rc = head; known[1] = head;
       advance() }
  :: atomic { rj == 0 && MAY_JOIN -> head++; rj = head;
       known[3] = head; advance() }

#ifdef RESTART
  :: atomic { up2 -> up2 = false; known[2] = 0 }
#ifdef SAME_SESSION
  :: atomic { !up2 -> up2 = true }
#endif
#endif

  :: atomic { in_force && OLD_OWNER_ACTS -> assert(false) }
  od
}
