/*
 * The duty to place layers, dealt by the store to one of two entry daemons.
 *
 * The store gives the duty to the member whose renewal arrives first, and to another one
 * once the holder's last renewal is as old as the lease. Each change has a higher number,
 * which is the fencing token of orders. Renewals, their answers and orders may take any
 * time. With REASSIGNS the store also takes the duty away at any moment; then only the
 * fencing tokens protect the engine.
 */

// mutant: LEASE_FROM_ANSWER
// mutant: ORDERS_AFTER_REFUSAL
// mutant: NO_LEASE

#define NONE 255
#define LEASE 2
#define TIME 4
#define MAX_GENERATION 3

byte now;

/* The store. */
byte generation;
byte holder = NONE;
byte renewedAt;
bool reassigned;

/* What a daemon believes. */
bool holding[2];
byte token[2];
byte since[2];
byte refused[2];

/* The engine: highest token seen. */
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

proctype Daemon(byte i) {
	byte sent;
	byte got;
	bool mine;
end:
	do
	/* Renews: the call arrives at the store later than it is sent, the answer later still. */
	:: atomic { now < TIME -> sent = now };
		atomic {
			if
			:: holder == i -> renewedAt = now
			:: holder != i && (holder == NONE || now - renewedAt >= LEASE) && generation < MAX_GENERATION ->
				holder = i; generation++; renewedAt = now
			:: else
			fi;
			mine = (holder == i);
			got = generation
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
		/* The answer is lost. */
		:: skip
		fi;
		atomic { sent = 0; got = 0; mine = false }
	:: atomic {
		HELD(i) && nfull(orders[i]) ->
		/* Under the lease alone, no other member holds the duty. */
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

/* The store deals the duty anew without being asked. */
proctype Store() {
	if
	:: atomic { holder != NONE && generation < MAX_GENERATION ->
		reassigned = true; holder = 1 - holder; generation++; renewedAt = now }
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
