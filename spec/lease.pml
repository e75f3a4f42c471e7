/*
 * Leases on the log, and orders with fencing tokens (design 4.4).
 *
 * Two contenders request one lease. A contender may pause between any two steps, also
 * between the check of its lease and the arrival of its order at the engine. The response
 * to an append may be lost and the append repeated. Time advances in ticks that all clocks
 * see.
 *
 * Of the log only the accepted state of the lease is modelled, since a rejected record
 * changes nothing but the offset.
 */

// mutant: UNCHECKED_FENCE
// mutant: NO_LAST_RENEWAL
// mutant: NO_LOCAL_DEADLINE
// mutant: DEADLINE_FROM_READ

#define NONE 255
#define LEASE 3
#define MARGIN 1
#define TIME 6
#define MAX_OFFSET 5

byte now;

/* State of the lease in the log. */
byte offset;
byte fence = NONE;
byte holder = NONE;
byte renewal = NONE;

/* What a contender believes: whether it holds the lease, its fencing token, and its deadline. */
bool held[2];
byte own[2];
byte deadline[2];

/* Orders on their way to the engine, and the token of the last order that it executed. */
chan orders = [2] of { byte };
byte applied;
bool anyApplied;

#ifdef NO_LOCAL_DEADLINE
#define VALID(i) (held[i])
#else
#define VALID(i) (held[i] && now < deadline[i])
#endif

/* Whether the lease still has the state that the contender saw. */
#ifdef NO_LAST_RENEWAL
#define UNCHANGED(f, r) (f == fence)
#else
#define UNCHANGED(f, r) (f == fence && r == renewal)
#endif

inline acquire(i, seenFence, seenRenewal) {
	if
	:: UNCHANGED(seenFence, seenRenewal) ->
		assert(fence == NONE || offset > fence);
		fence = offset;
		holder = i;
		renewal = offset
	:: else
	fi;
	offset++
}

inline renew(i) {
	if
	:: fence == own[i] && holder == i -> renewal = offset
	:: else
	fi;
	offset++
}

proctype Contender(byte i) {
	byte seenFence;
	byte seenRenewal;
	byte seenAt;
	byte sentAt;
	byte at;
end:
	do
	/* Reads the log. The time at which a state was first seen stays while the state does not change. */
	:: atomic {
		!held[i] && (seenFence != fence || seenRenewal != renewal || seenAt == 0) ->
		seenFence = fence;
		seenRenewal = renewal;
		seenAt = now + 1
	}
	/* Requests the lease; the append may happen later than it is sent. */
	:: atomic {
		!held[i] && seenAt != 0 && offset < MAX_OFFSET && (seenFence == NONE || now + 1 >= seenAt + LEASE) ->
		sentAt = now
	};
		atomic { at = offset; acquire(i, seenFence, seenRenewal) };
		/* The response may be lost, and the same record appended again. */
		if
		:: atomic { offset < MAX_OFFSET -> acquire(i, seenFence, seenRenewal) }
		:: skip
		fi;
		atomic {
			if
			:: fence == at && holder == i ->
				held[i] = true;
				own[i] = at;
				deadline[i] = sentAt + LEASE - MARGIN
			:: else
			fi;
			seenAt = 0;
			seenFence = 0;
			seenRenewal = 0;
			sentAt = 0;
			at = 0
		}
	/* Renews the lease. Whether that was accepted is read from the log afterwards. */
	:: atomic { VALID(i) && offset < MAX_OFFSET -> sentAt = now };
		atomic { at = offset; renew(i) };
		atomic {
			if
			:: renewal == at ->
#ifdef DEADLINE_FROM_READ
				deadline[i] = now + LEASE - MARGIN
#else
				deadline[i] = sentAt + LEASE - MARGIN
#endif
			:: else
			fi;
			sentAt = 0;
			at = 0
		}
	/* Sends an order under the lease. It may arrive at any later time. */
	:: atomic { VALID(i) && nfull(orders) -> orders!own[i] }
	/* Detects the loss of the lease, at any time after it. */
	:: atomic { held[i] && (now >= deadline[i] || fence != own[i]) -> held[i] = false; seenAt = 0 }
	od
}

/* Whether the engine executes an order. */
#ifdef UNCHECKED_FENCE
#define APPLIES(number) (true)
#else
#define APPLIES(number) (!anyApplied || number >= applied)
#endif

/* Receives orders, which may overtake each other. */
proctype Engine() {
	byte number;
	byte other;
end:
	do
	:: atomic {
		orders?number ->
		if
		:: nempty(orders) -> orders?other; orders!number; number = other; other = 0
		:: skip
		fi;
		if
		:: APPLIES(number) ->
			assert(!anyApplied || number >= applied);
			applied = number;
			anyApplied = true
		:: else
		fi;
		number = 0
	}
	od
}

proctype Clock() {
end:
	do
	:: atomic { now < TIME -> now++; assert(!(VALID(0) && VALID(1))) }
	od
}

proctype Monitor() {
end:
	atomic { VALID(0) && VALID(1) -> assert(false) }
}

init {
	atomic {
		run Contender(0);
		run Contender(1);
		run Engine();
		run Clock();
		run Monitor()
	}
}
