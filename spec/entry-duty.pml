/*
 * Leadership of the placement of layers, which the store gives to one of two entry daemons.
 *
 * The store makes the member the leader whose renewal arrives first, and another one once
 * the leader's last renewal is as old as the lease. Each change raises the generation.
 * The fencing token of the leader's orders is made of the era and the generation.
 * Renewals, their responses and orders may take any time. At most once, the store also
 * moves the leadership before the lease has ended, or comes back with an older copy, in
 * which the generation is lower, and raises the era (proctype Store); then only the
 * fencing tokens protect the engine.
 */

// mutant: LEASE_FROM_ANSWER
// mutant: ORDERS_AFTER_REFUSAL
// mutant: NO_LEASE
// mutant: TOKEN_WITHOUT_ERA

#define NONE 255
#define LEASE 2
#define TIME 4
#define MAX_GENERATION 3

byte now;

/* The store. */
byte era;
byte generation;
byte issued;
byte holder = NONE;
byte renewedAt;
bool reassigned;

/* What a daemon believes: whether it leads, its token, since when its lease counts, and the
   highest token of its orders that the engine rejected. */
bool holding[2];
byte token[2];
byte since[2];
byte refused[2];

/* The engine: the highest token that it has seen. */
byte fence;
chan orders[2] = [1] of { byte };
chan refusals[2] = [1] of { byte };

#ifdef NO_LEASE
#define HELD(i) (holding[i] && token[i] > refused[i])
#else
#ifdef ORDERS_AFTER_REFUSAL
#define HELD(i) (holding[i] && now - since[i] < LEASE)
#else
#define HELD(i) (holding[i] && now - since[i] < LEASE && token[i] > refused[i])
#endif
#endif

#ifdef TOKEN_WITHOUT_ERA
#define TOKEN generation
#else
#define TOKEN (era * (MAX_GENERATION + 1) + generation)
#endif

/* Makes a member the leader. Its token is higher than all that were issued before. */
inline elect(member) {
	holder = member;
	generation++;
	renewedAt = now;
	assert(TOKEN > issued);
	issued = TOKEN
}

proctype Daemon(byte i) {
	byte sent;
	byte got;
	bool mine;
end:
	do
	/* Renews. The call may arrive at the store later than it is sent, and the response later still. */
	:: atomic { now < TIME -> sent = now };
		atomic {
			if
			:: holder == i -> renewedAt = now
			:: holder != i && (holder == NONE || now - renewedAt >= LEASE) && generation < MAX_GENERATION ->
				elect(i)
			:: else
			fi;
			mine = (holder == i);
			got = TOKEN
		};
		if
		:: atomic {
			holding[i] = mine;
			token[i] = got;
#ifdef LEASE_FROM_ANSWER
			since[i] = now;
#else
			since[i] = sent;
#endif
		}
		/* The response is lost. */
		:: skip
		fi;
		atomic { sent = 0; got = 0; mine = false }
	:: atomic {
		HELD(i) && nfull(orders[i]) ->
		/* While the store keeps to the lease, no other member is the leader. */
		assert(reassigned || holder == i);
		assert(token[i] > refused[i]);
		orders[i] ! token[i]
	}
	:: atomic { refusals[i] ? got -> refused[i] = (got > refused[i] -> got : refused[i]); got = 0 }
	od
}

proctype Engine() {
	byte got;
end:
	do
	:: atomic {
		nfull(refusals[0]) && orders[0] ? [got] -> orders[0] ? got;
		if
		:: got < fence -> refusals[0] ! got
		:: else -> assert(got >= fence); fence = got
		fi;
		got = 0
	}
	:: atomic {
		nfull(refusals[1]) && orders[1] ? [got] -> orders[1] ? got;
		if
		:: got < fence -> refusals[1] ! got
		:: else -> assert(got >= fence); fence = got
		fi;
		got = 0
	}
	od
}

/* The store may make the other member the leader although the lease has not ended, also
   after it has come back with an older copy. */
proctype Store() {
	if
	:: atomic { holder != NONE && generation < MAX_GENERATION ->
		reassigned = true; elect(1 - holder) }
	:: atomic { holder != NONE ->
		reassigned = true; era++; generation = 0; elect(1 - holder) }
	:: skip
	fi
}

proctype Time() {
	do
	:: now < TIME -> now++
	:: now == TIME -> break
	od
}

init {
	atomic { run Daemon(0); run Daemon(1); run Engine(); run Store(); run Time() }
}
